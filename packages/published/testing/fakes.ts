/** Fakes of this package's dependencies, and helpers for manual time.
 *
 * @module
 */
import {
  type CallOptions,
  EventLog,
  ManualClock,
  type Member,
  NoopMetrics,
  ObjectStore,
  type StoreError,
  type StoreKey,
  type Versioned,
  type WatchReply,
} from "@banyanlb/core";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { setImmediate } from "node:timers/promises";
import { pino } from "pino";
import { ConfigFollower } from "../src/follower.ts";
import type {
  Evidence,
  FetchReply,
  FetchRequest,
} from "../src/generated/config_messages.ts";
import { ConfigPeers, type PeerError } from "../src/peers.ts";

interface Row {
  readonly version: string;
  readonly text: string;
}

/** A log that discards its events. */
export const silent_log = new EventLog(pino({ enabled: false }));

/** Metrics that are discarded. */
export const no_metrics = new NoopMetrics();

/** Content of the store, shared by all its clients. */
export class FakeStorage {
  readonly rows = new Map<string, Row>();
  /** All values that the manifest has had, as JSON. */
  readonly manifests: string[] = [];
  readonly reads: string[] = [];
  down = false;
  #next = 1;
  #write_listeners: readonly (() => void)[] = [];

  write(id: string, value: unknown): string {
    const text = JSON.stringify(value);
    const version = `v${this.#next++}`;
    this.rows.set(id, { version, text });
    if (id === "manifest/manifest") this.manifests.push(text);
    const listeners = this.#write_listeners;
    this.#write_listeners = [];
    for (const wake of listeners) wake();
    return version;
  }

  nextWrite(): Promise<void> {
    return new Promise((resolve) => {
      this.#write_listeners = [...this.#write_listeners, resolve];
    });
  }
}

/** How a call behaves. `answered`: it takes effect and its reply arrives.
 * `lost_before`: no effect and no reply. `lost_after`: it takes effect, the
 * reply is lost. `late`: the reply is lost and the call takes effect
 * `LATE_TURNS` later. `throttled`: no effect, and the store replies with an
 * error. `turns`: event-loop turns for the request and for the reply. */
export interface CallBehavior {
  readonly mode:
    | "answered"
    | "lost_before"
    | "lost_after"
    | "late"
    | "throttled";
  readonly turns: number;
}

const LATE_TURNS = 200;

const THROTTLED: StoreError = {
  kind: "throttled",
  message: "too many calls",
  retry_after_ms: 20,
};

const LOST: StoreError = { kind: "unavailable", message: "no answer" };

/** A client of a {@linkcode FakeStorage}. */
export class FakeStore extends ObjectStore {
  readonly storage: FakeStorage;
  readonly #clock: ManualClock;
  /** False: this client is cut off from the store. */
  reachable = true;
  /** Simulated latency of the request and of the reply. */
  latency_ms = 0;
  /** Returns the behavior of the next call. */
  nextBehavior: () => CallBehavior = () => ({ mode: "answered", turns: 0 });

  constructor(storage: FakeStorage, clock: ManualClock) {
    super();
    this.storage = storage;
    this.#clock = clock;
  }

  override get<T>(key: StoreKey): ResultAsync<Versioned<T>, StoreError> {
    return this.#call(() => {
      const row = this.storage.rows.get(`${key.kind}/${key.name}`);
      this.storage.reads.push(`${key.kind}/${key.name}`);
      if (row === undefined) return fail("not_found");
      return okAsync({ version: row.version, value: JSON.parse(row.text) });
    });
  }

  override list(kind: string): ResultAsync<readonly string[], StoreError> {
    return this.#call(() =>
      okAsync(
        [...this.storage.rows.keys()]
          .filter((id) => id.startsWith(`${kind}/`))
          .map((id) => id.slice(kind.length + 1)),
      )
    );
  }

  override create<T>(key: StoreKey, value: T): ResultAsync<string, StoreError> {
    const id = `${key.kind}/${key.name}`;
    return this.#call(() => {
      if (this.storage.rows.has(id)) return fail("conflict");
      return okAsync(this.storage.write(id, value));
    });
  }

  override update<T>(
    key: StoreKey,
    base: Versioned<T>,
  ): ResultAsync<string, StoreError> {
    const id = `${key.kind}/${key.name}`;
    return this.#call(() => {
      const version = this.storage.rows.get(id)?.version;
      if (version !== base.version) return fail("conflict");
      return okAsync(this.storage.write(id, base.value));
    });
  }

  override remove(
    key: StoreKey,
    version: string,
  ): ResultAsync<void, StoreError> {
    const id = `${key.kind}/${key.name}`;
    return this.#call(() => {
      if (this.storage.rows.get(id)?.version !== version) {
        return fail("conflict");
      }
      this.storage.rows.delete(id);
      return okAsync(undefined);
    });
  }

  override watch<T>(
    key: StoreKey,
    version: string | undefined,
    options: CallOptions & { readonly wait_ms: number },
  ): ResultAsync<WatchReply<T>, StoreError> {
    const id = `${key.kind}/${key.name}`;
    const wait = async () => {
      const ends_at = this.#clock.now() + options.wait_ms;
      while (this.storage.rows.get(id)?.version === version) {
        const remaining_ms = ends_at - this.#clock.now();
        if (remaining_ms <= 0) break;
        const aborted = AbortSignal.any(options.signal ? [options.signal] : []);
        await Promise.race([
          this.storage.nextWrite(),
          this.#clock.sleep(remaining_ms, aborted).catch(() => undefined),
        ]);
        if (options.signal?.aborted) return { changed: false };
      }
      const row = this.storage.rows.get(id);
      if (row?.version === version) return { changed: false };
      if (row === undefined) return { changed: true };
      const value = JSON.parse(row.text);
      return { changed: true, object: { version: row.version, value } };
    };
    return this.#call(() => ResultAsync.fromSafePromise(wait())) as ResultAsync<
      WatchReply<T>,
      StoreError
    >;
  }

  override async close(): Promise<void> {}

  #call<T>(
    effect: () => ResultAsync<T, StoreError>,
  ): ResultAsync<T, StoreError> {
    const { mode, turns } = this.nextBehavior();
    const run = async () => {
      await this.#travel(turns);
      if (this.#isCut() || mode === "lost_before") return await errAsync(LOST);
      if (mode === "throttled") return await errAsync(THROTTLED);
      if (mode === "late") {
        void this.#travel(LATE_TURNS).then(effect);
        return await errAsync(LOST);
      }
      const result = await effect();
      await this.#travel(turns);
      if (this.#isCut() || mode === "lost_after") return await errAsync(LOST);
      return result;
    };
    return new ResultAsync(run());
  }

  async #travel(turns: number): Promise<void> {
    for (let i = 0; i < turns; i++) await setImmediate();
    if (this.latency_ms > 0) await this.#clock.sleep(this.latency_ms);
  }

  #isCut(): boolean {
    return this.storage.down || !this.reachable;
  }
}

function fail(kind: "conflict" | "not_found"): ResultAsync<never, StoreError> {
  return errAsync({ kind, message: kind });
}

/** Peers whose followers are called directly. */
export class FakePeers extends ConfigPeers {
  readonly followers: ReadonlyMap<string, ConfigFollower>;
  /** Whether a request from this instance reaches a member. */
  reaches: (member: string) => boolean = () => true;
  /** Whether peers reply to fetch requests. */
  fetches = true;
  /** Latency of a reply with evidence. */
  latency_ms = 0;
  /** Whether a request to an unreachable member fails only at its timeout. */
  times_out = false;
  asked = 0;
  /** Members that received an evidence request. */
  readonly requested_members = new Set<string>();
  readonly #clock: ManualClock | undefined;

  constructor(
    followers: ReadonlyMap<string, ConfigFollower>,
    clock?: ManualClock,
  ) {
    super();
    this.followers = followers;
    this.#clock = clock;
  }

  override evidence(
    member: string,
    timeout_ms: number,
  ): ResultAsync<Evidence, PeerError> {
    this.asked++;
    this.requested_members.add(member);
    const follower = this.followers.get(member);
    if (follower === undefined || !this.reaches(member)) {
      if (!this.times_out || this.#clock === undefined) return unreachable();
      const timeout = this.#clock.sleep(timeout_ms);
      return ResultAsync.fromSafePromise(timeout).andThen(unreachable);
    }
    const evidence = follower.evidence();
    if (this.#clock === undefined || this.latency_ms === 0) {
      return okAsync(evidence);
    }
    const arrival = this.#clock.sleep(this.latency_ms);
    return ResultAsync.fromSafePromise(arrival.then(() => evidence));
  }

  override fetch(
    member: string,
    request: FetchRequest,
  ): ResultAsync<FetchReply, PeerError> {
    const reply = this.followers.get(member)?.answer(request);
    const is_answered = this.fetches && this.reaches(member);
    if (reply === undefined || !is_answered) return unreachable();
    return okAsync(JSON.parse(JSON.stringify(reply)));
  }
}

function unreachable(): ResultAsync<never, PeerError> {
  return errAsync({ kind: "unreachable", message: "no answer" });
}

/** A live member with this id in a region. */
export function member(id: string, region: string): Member {
  return {
    id,
    instance: id,
    peer_url: `ws://${id}`,
    caller_url: `http://${id}`,
    region,
    failure_domain: `${region}-a`,
    state: "live",
  };
}

const STEP_MS = 20;
const TURNS_PER_STEP = 6;

/** Advances the clock in small steps, with event-loop turns in between. */
export async function passTime(clock: ManualClock, ms: number): Promise<void> {
  for (let t = 0; t < ms; t += STEP_MS) {
    clock.advance(STEP_MS);
    for (let i = 0; i < TURNS_PER_STEP; i++) await setImmediate();
  }
}

/** Advances the clock until `promise` settles. */
export async function passTimeUntil<T>(
  clock: ManualClock,
  promise: Promise<T>,
): Promise<T> {
  let is_settled = false;
  promise.finally(() => is_settled = true).catch(() => undefined);
  while (!is_settled) await passTime(clock, STEP_MS);
  return await promise;
}
