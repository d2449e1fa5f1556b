/** Streams of digests between two instances: what was sent on a connection, so
 * that only changes follow, and what arrived.
 *
 * @module
 */
import type { DigestBoard, Origin } from "./digest_board.ts";
import {
  ageMsOf,
  ageSymbol,
  type Digest,
  encodeState,
  type OriginField,
  type RowField,
} from "./digest_message.ts";

/** Time after which the shortest time of a message on its way is measured anew,
 * in milliseconds: twice of this at most after a clock stood still. */
const OFFSET_WINDOW_MS = 10_000;

/** Assumed time of a message on its way before an acknowledgement has shown it,
 * in milliseconds. */
const FIRST_TRANSIT_MS = 100;

/** The content of one message that follows from the board. */
export interface StreamContent {
  readonly origins: readonly OriginField[] | undefined;
  readonly ages: string;
  readonly rows: readonly RowField[] | undefined;
  readonly loads: Readonly<Record<string, number>> | undefined;
}

/** What was sent on one connection. */
export class OutgoingStream {
  readonly epoch: number;
  #seq = 0;
  #sentUpTo = 0;
  readonly #indexes = new Map<string, number>();
  /** The processes by their places. */
  readonly #incarnations: string[] = [];
  readonly #names: string[] = [];
  readonly #sentLoads = new Map<string, number>();

  /** `epoch` is larger than that of any stream to the same peer before. */
  constructor(epoch: number) {
    this.epoch = epoch;
  }

  /** Number of messages so far. */
  get seq(): number {
    return this.#seq;
  }

  /** Builds the content of the next message: the changes since the last one of
   * the instances that `includes` names, and the age of each. */
  next(
    board: DigestBoard,
    options: {
      readonly includes: (origin: Origin) => boolean;
      readonly loads: ReadonlyMap<string, number>;
      readonly now: number;
    },
  ): StreamContent {
    const { includes, loads, now } = options;
    this.#seq += 1;
    const origins: OriginField[] = [];
    const rows: RowField[] = [];
    for (const { origin, row } of board.since(this.#sentUpTo)) {
      if (!includes(origin)) continue;
      if (row === undefined) origins.push(this.#originField(origin, now));
      else {
        const index = this.#indexes.get(origin.member.name);
        if (index === undefined) continue;
        const ageMs = Math.ceil(now - row.madeAt);
        const { kind, name, version, value } = row;
        rows.push([index, kind, name, version, ageMs, value]);
      }
    }
    this.#sentUpTo = board.change;
    const ages = this.#names.map((name) => {
      const origin = board.get(name);
      const isKnown = origin !== undefined && includes(origin);
      return ageSymbol(isKnown ? now - origin.heardAt : undefined);
    }).join("");
    return {
      origins: origins.length === 0 ? undefined : origins,
      ages,
      rows: rows.length === 0 ? undefined : rows,
      loads: this.#changedLoads(loads),
    };
  }

  #originField(origin: Origin, now: number): OriginField {
    const { member, startedAt, stateVersion, state } = origin;
    const { name, incarnation } = member;
    let index = this.#indexes.get(name);
    if (index === undefined) {
      index = this.#names.length;
      this.#indexes.set(name, index);
      this.#names.push(name);
    }
    const isKnown = this.#incarnations[index] === incarnation;
    this.#incarnations[index] = incarnation;
    const upMs = Math.max(0, Math.round(now - startedAt));
    return [
      index,
      isKnown ? null : member,
      upMs,
      stateVersion,
      encodeState(state),
    ];
  }

  #changedLoads(
    loads: ReadonlyMap<string, number>,
  ): Readonly<Record<string, number>> | undefined {
    const changed: Record<string, number> = {};
    let hasChanged = false;
    const set = (engine: string, count: number) => {
      changed[engine] = count;
      hasChanged = true;
    };
    for (const [engine, count] of loads) {
      if ((this.#sentLoads.get(engine) ?? 0) === count) continue;
      this.#sentLoads.set(engine, count);
      set(engine, count);
    }
    for (const engine of this.#sentLoads.keys()) {
      if (loads.has(engine)) continue;
      this.#sentLoads.delete(engine);
      set(engine, 0);
    }
    return hasChanged ? changed : undefined;
  }
}

/** A process of an instance that a stream tells of. */
export interface StreamProcess {
  readonly name: string;
  readonly incarnation: string;
}

/** What arrived from one peer on its present stream. */
export class IncomingStream {
  readonly incarnation: string;
  readonly epoch: number;
  readonly startedAt: number;
  seq = 0;
  receivedAt = 0;
  everyMs: number;
  readonly loads = new Map<string, number>();
  /** The processes by their places. */
  readonly #processes: StreamProcess[] = [];

  constructor({ inc, epoch, up, every }: Digest, now: number) {
    this.incarnation = inc;
    this.epoch = epoch;
    this.startedAt = now - up;
    this.everyMs = every;
  }

  /** Whether a message continues this stream. */
  isContinuedBy({ inc, epoch, seq }: Digest): boolean {
    return inc === this.incarnation && epoch === this.epoch &&
      seq === this.seq + 1;
  }

  /** Whether a message begins a stream that takes the place of this one. */
  isReplacedBy({ inc, epoch, seq, up }: Digest, now: number): boolean {
    if (seq !== 1) return false;
    return inc === this.incarnation
      ? epoch > this.epoch
      : now - up > this.startedAt;
  }

  /** Records the process at a place. */
  setProcess(index: number, name: string, incarnation: string): void {
    if (index <= this.#processes.length) {
      this.#processes[index] = { name, incarnation };
    }
  }

  /** The process at a place. */
  processAt(index: number): StreamProcess | undefined {
    return this.#processes[index];
  }

  /** Calls `use` for each process whose age a message shows. */
  forEachAge(
    { ages }: Digest,
    use: (process: StreamProcess, ageMs: number) => void,
  ): void {
    this.#processes.forEach((process, index) => {
      const ageMs = ageMsOf(ages[index]);
      if (ageMs !== undefined) use(process, ageMs);
    });
  }
}

/** How long messages of one peer are on their way. Both clocks run steadily, so
 * the time from the sending by the peer's clock to the arrival by this one's
 * differs from message to message only by what they take longer than the
 * shortest. */
export class Transit {
  #current = { from: -Infinity, offsetMs: Infinity, roundTripMs: Infinity };
  #previous = this.#current;

  /** Records a message that was sent at `up` of the sender's clock; returns how
   * long it was on its way at most, in milliseconds. */
  record(up: number, now: number): number {
    const current = this.#at(now);
    current.offsetMs = Math.min(current.offsetMs, now - up);
    const shortest = Math.min(current.offsetMs, this.#previous.offsetMs);
    const roundTripMs = Math.min(
      current.roundTripMs,
      this.#previous.roundTripMs,
    );
    const bestMs = Number.isFinite(roundTripMs)
      ? roundTripMs
      : FIRST_TRANSIT_MS;
    return now - up - shortest + bestMs;
  }

  /** Records the time from a message to its acknowledgement, in
   * milliseconds. */
  recordRoundTrip(ms: number, now: number): void {
    const current = this.#at(now);
    current.roundTripMs = Math.min(current.roundTripMs, ms);
  }

  #at(now: number) {
    if (now - this.#current.from > OFFSET_WINDOW_MS) {
      this.#previous = this.#current;
      this.#current = {
        from: now,
        offsetMs: Infinity,
        roundTripMs: Infinity,
      };
    }
    return this.#current;
  }
}
