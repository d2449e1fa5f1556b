/** What is known of every instance: its state and the rows that it reports.
 *
 * Digests pass through other instances and arrive on several ways, in any order.
 * The board keeps these invariants:
 *
 * 1. A state or a row is never replaced by an older one of the same process.
 * 2. A process is never replaced by one that started before it.
 * 3. Ages only grow on the way: what is passed on was heard of, and made, no
 *    later than is said.
 *
 * @module
 */
import type { Member } from "./types.ts";

/** Kinds of rows that instances report. */
export type RowKind =
  | "rooms"
  | "held"
  | "down"
  | "slow"
  | "crashes"
  | "answers"
  | "holds"
  | "limits"
  | "revisions"
  | "paths"
  | "warmups";

/** Largest number of rows that are kept of one instance; those that changed
 * first are dropped. */
const ROWS_MAX = 4096;

/** Number of changes up to which replaced ones are not dropped. */
const CHANGES_MIN = 64;

/** An instance counts as the direct source of its rows for this long after its
 * last message, in milliseconds. */
const DIRECT_MS = 6000;

/** What an instance reports of itself. */
export interface InstanceState {
  readonly ready: boolean;
  readonly leaving: boolean;
  /** Whether callers use the instance. */
  readonly serves: boolean;
  /** Whether the instance sends orders to engines. */
  readonly orders: boolean;
  /** Fraction of its time for which the instance is busy, in [0, 1]. */
  readonly busy: number;
  /** Whether the store responds to the instance. */
  readonly reachesStore: boolean;
  /** Time of the instance's small calls to the store, in milliseconds; undefined
   * before the first. */
  readonly storeRoundTripMs: number | undefined;
  /** Identifies the instance as an owner of engines, and changes when its entry
   * is written anew; undefined until the store has confirmed the entry. */
  readonly tenure: string | undefined;
  /** Longest time between the instance's digests, in milliseconds. */
  readonly digestIntervalMs: number;
  /** Whether the instance has no path to the engines of some service. */
  readonly cutOff?: boolean;
  /** Whether one of these services has engines that take orders. */
  readonly ordersCut?: boolean;
  /** Whether the instance serves requests that others pass on to it. */
  readonly takesPassed?: boolean;
}

/** One row: a value by kind and name, which an instance reports when it
 * changes. */
export interface BoardRow {
  readonly kind: RowKind;
  readonly name: string;
  /** Grows with each change, within a process. */
  readonly version: number;
  /** When the value was made, by this instance's monotonic clock. */
  readonly madeAt: number;
  /** `null` if the row is no longer reported. */
  readonly value: unknown;
}

/** An instance on the board. */
export interface Origin {
  readonly member: Member;
  /** When its process started, by this instance's monotonic clock. */
  readonly startedAt: number;
  readonly state: InstanceState;
  readonly stateVersion: number;
  /** When it was last heard of, here or by those that pass its rows on. */
  readonly heardAt: number;
}

interface Entry {
  member: Member;
  startedAt: number;
  state: InstanceState;
  stateVersion: number;
  heardAt: number;
  /** When its own last message arrived. */
  directAt: number;
  /** Number of the change of the state. */
  change: number;
  readonly rows: Map<string, Row>;
}

interface Row extends BoardRow {
  madeAt: number;
  /** Number of its change. */
  change: number;
}

interface Change {
  readonly number: number;
  readonly entry: Entry;
  /** Undefined for a change of the state. */
  readonly row: Row | undefined;
}

/** One change: of an instance's state, or of a row. */
export interface BoardChange {
  readonly origin: Origin;
  readonly row: BoardRow | undefined;
}

/** The states and rows of all instances, this one included. */
export class DigestBoard {
  readonly #entries = new Map<string, Entry>();
  /** Changes in their order, those included that later ones replace. */
  #changes: Change[] = [];
  #changeCount = 0;
  /** Number of kept changes above which the replaced ones are dropped. */
  #compactAt = CHANGES_MIN;

  /** Number of the newest change. */
  get change(): number {
    return this.#changeCount;
  }

  /** Every instance. */
  origins(): Iterable<Origin> {
    return this.#entries.values();
  }

  /** The instance of this name. */
  get(name: string): Origin | undefined {
    return this.#entries.get(name);
  }

  /** Whether the instance's own messages arrive here. */
  isDirect(name: string, now: number): boolean {
    return now - (this.#entries.get(name)?.directAt ?? -Infinity) < DIRECT_MS;
  }

  /** Merges the state of an instance; returns whether it is new here. */
  mergeState(
    member: Member,
    options: {
      readonly state: InstanceState;
      readonly version: number;
      readonly startedAt: number;
      readonly heardAt: number;
    },
  ): boolean {
    const { state, version, startedAt, heardAt } = options;
    const entry = this.#entries.get(member.name);
    if (entry?.member.incarnation === member.incarnation) {
      if (version <= entry.stateVersion) return false;
      entry.state = state;
      entry.stateVersion = version;
      entry.heardAt = Math.max(entry.heardAt, heardAt);
      this.#record(entry, undefined);
      return true;
    }
    if (entry !== undefined && startedAt <= entry.startedAt) return false;
    const created: Entry = {
      member,
      startedAt,
      state,
      stateVersion: version,
      heardAt,
      directAt: -Infinity,
      change: 0,
      rows: new Map(),
    };
    this.#entries.set(member.name, created);
    this.#record(created, undefined);
    return true;
  }

  /** Merges a row of an instance; returns whether it is new here. */
  mergeRow(name: string, incarnation: string, row: BoardRow): boolean {
    const entry = this.#entries.get(name);
    if (entry?.member.incarnation !== incarnation) return false;
    const key = `${row.kind} ${row.name}`;
    const current = entry.rows.get(key);
    if (current !== undefined && row.version <= current.version) return false;
    const { kind, name: rowName, version, madeAt, value } = row;
    const merged = { kind, name: rowName, version, madeAt, value, change: 0 };
    entry.rows.delete(key);
    entry.rows.set(key, merged);
    this.#record(entry, merged);
    for (const oldest of entry.rows.keys()) {
      if (entry.rows.size <= ROWS_MAX) break;
      entry.rows.delete(oldest);
    }
    return true;
  }

  /** The row of an instance by kind and name. */
  rowOf(name: string, kind: RowKind, rowName: string): BoardRow | undefined {
    return this.#entries.get(name)?.rows.get(`${kind} ${rowName}`);
  }

  /** The rows of an instance. */
  rowsOf(name: string): Iterable<BoardRow> {
    return this.#entries.get(name)?.rows.values() ?? [];
  }

  /** Records that a process was alive at `heardAt`; returns whether that is news
   * of the process that is known. */
  recordHeard(name: string, incarnation: string, heardAt: number): boolean {
    const entry = this.#entries.get(name);
    if (entry?.member.incarnation !== incarnation) return false;
    entry.heardAt = Math.max(entry.heardAt, heardAt);
    return true;
  }

  /** Records that a message of the instance itself arrived at `now`. From then
   * on its rows are passed on as those of the own group, also those that had
   * arrived another way. */
  recordDirect(name: string, now: number): void {
    const entry = this.#entries.get(name);
    if (entry === undefined) return;
    const wasDirect = this.isDirect(name, now);
    entry.directAt = now;
    if (wasDirect) return;
    this.#record(entry, undefined);
    for (const row of entry.rows.values()) this.#record(entry, row);
  }

  /** The changes after the one with this number, without those that were
   * replaced since. */
  *since(change: number): Iterable<BoardChange> {
    let low = 0;
    let high = this.#changes.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#changes[middle]?.number ?? Infinity) > change) high = middle;
      else low = middle + 1;
    }
    for (let i = low; i < this.#changes.length; i += 1) {
      const item = this.#changes[i];
      if (item !== undefined && this.#isCurrent(item)) {
        yield { origin: item.entry, row: item.row };
      }
    }
  }

  /** Makes everything older by `ms`: this process was suspended and its clock
   * did not count the time. */
  addAge(ms: number): void {
    for (const entry of this.#entries.values()) {
      entry.heardAt -= ms;
      entry.directAt -= ms;
      entry.startedAt -= ms;
      for (const row of entry.rows.values()) row.madeAt -= ms;
    }
  }

  /** Forgets instances that were not heard of since `time`, and returns their
   * names. */
  dropSilent(time: number): readonly string[] {
    const dropped: string[] = [];
    for (const [name, { heardAt }] of this.#entries) {
      if (heardAt < time) dropped.push(name);
    }
    for (const name of dropped) this.#entries.delete(name);
    return dropped;
  }

  #record(entry: Entry, row: Row | undefined): void {
    this.#changeCount += 1;
    const number = this.#changeCount;
    (row ?? entry).change = number;
    this.#changes.push({ number, entry, row });
    if (this.#changes.length <= this.#compactAt) return;
    this.#changes = this.#changes.filter((change) => this.#isCurrent(change));
    this.#compactAt = 2 * this.#changes.length + CHANGES_MIN;
  }

  #isCurrent({ number, entry, row }: Change): boolean {
    return this.#entries.get(entry.member.name) === entry &&
      (row ?? entry).change === number &&
      (row === undefined ||
        entry.rows.get(`${row.kind} ${row.name}`) === row);
  }
}
