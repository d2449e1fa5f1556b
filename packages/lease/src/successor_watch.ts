/** Ends sessions of other processes that are no longer renewed, and answers
 * promise requests.
 *
 * @module
 */
import {
  type Clock,
  type EventLog,
  type Metrics,
  type ObjectStore,
  rankByRendezvous,
  type Session,
  type Versioned,
} from "@banyanlb/core";
import { randomUUID } from "node:crypto";
import {
  READS_PER_LAST_TERM,
  ROUNDS_PER_TERM,
  STORE_CALL_TIMEOUT_RATIO,
  VISIT_INTERVAL_MS,
} from "./constants.ts";
import { withDriftMargin } from "./drift.ts";
import {
  SESSION_TAKEN_OVER,
  TAKE_OVER_IN_DOUBT,
  TAKE_OVER_LOST,
} from "./events.ts";
import type { PromiseAsk, PromiseReply } from "./generated/lease_messages.ts";
import { Listeners } from "./listeners.ts";
import { MissingSessions } from "./missing_sessions.ts";
import {
  sessionKey,
  SessionWrite,
  type WriteOutcome,
} from "./session_write.ts";
import { type SessionObservation, takeOverAt } from "./session_observation.ts";
import { sleepUnlessAborted } from "./sleep.ts";

/** Dependencies of a watch. */
export interface WatchDeps {
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** This process's own lease. */
  readonly lease: { remaining(): number };
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** Settings of a watch. `term_ms` and `last_term_ms` must be the same in every
 * process of a fleet. */
export interface WatchOptions {
  /** This process's own session id. */
  readonly id: string;
  readonly term_ms: number;
  readonly last_term_ms: number;
  /** Time between two visits, each of one other member's session. Default
   * {@linkcode VISIT_INTERVAL_MS}. */
  readonly visit_interval_ms?: number;
}

type RefusalReason = NonNullable<PromiseReply["why"]>;

/** Polls the sessions of other processes, promises their holders not to take
 * over, and ends sessions that are no longer renewed.
 *
 * A session that names this process as a successor is read each third of a
 * term. The sessions of all members are also visited round-robin, one per visit
 * interval: a visited session is read twice, one term apart. If it is
 * unchanged, it is read on until it changes or may be ended after the last
 * term.
 *
 * @example
 * ```ts
 * const watch = new SuccessorWatch(deps, options);
 * watch.onEnded((id) => keeper.removeEnded(id));
 * watch.setWatchedSessions(["session-of-a-neighbour"]);
 * watch.setMembers(view.members.map((member) => member.id));
 * ```
 */
export class SuccessorWatch {
  readonly #deps: WatchDeps;
  readonly #options: WatchOptions;
  readonly #ended_listeners: Listeners<string>;
  readonly #stop = new AbortController();
  readonly #observations = new Map<string, SessionObservation>();
  readonly #promised_until = new Map<string, number>();
  readonly #writes_in_doubt = new Map<string, SessionWrite>();
  readonly #poll_tasks = new Map<string, Promise<void>>();
  readonly #missing_sessions: MissingSessions;
  #watch_ids: ReadonlySet<string> = new Set();
  #member_ids: readonly string[] = [];
  #visit_task: Promise<void>;

  constructor(deps: WatchDeps, options: WatchOptions) {
    this.#deps = deps;
    this.#options = options;
    this.#ended_listeners = new Listeners(deps.log);
    this.#missing_sessions = new MissingSessions({ ...deps, ...options });
    this.#visit_task = this.#visitMembersInTurn();
  }

  /** Replaces the sessions that name this process as a successor. */
  setWatchedSessions(ids: readonly string[]): void {
    this.#watch_ids = new Set(ids.filter((id) => id !== this.#options.id));
    for (const id of this.#watch_ids) this.#startPolling(id);
  }

  /** Replaces the sessions that are visited round-robin: those of all
   * members. */
  setMembers(ids: readonly string[]): void {
    const others = ids.filter((id) => id !== this.#options.id);
    this.#member_ids = rankByRendezvous(others, {
      key: this.#options.id,
      name: (id) => id,
    });
  }

  /** Registers a callback that is called with the id of each session that has
   * certainly ended, whichever process ended it. Returns a function that
   * removes the callback. The callback may be called repeatedly with the same
   * id, as long as it is among the watched sessions or the members. */
  onEnded(callback: (session_id: string) => void): () => void {
    return this.#ended_listeners.add(callback);
  }

  /** Answers a promise request: promises not to end the session for
   * `request.ms` milliseconds from now plus the drift margin, or refuses. */
  handlePromiseRequest(request: PromiseAsk): PromiseReply {
    const why = this.#refusalReason(request);
    this.#deps.metrics.count("lease.asked", { outcome: why ?? "ok" });
    if (why !== undefined) return { ok: false, why };
    const until = this.#deps.clock.now() + withDriftMargin(request.ms);
    const previous_until = this.#promised_until.get(request.id) ?? -Infinity;
    this.#promised_until.set(request.id, Math.max(previous_until, until));
    return { ok: true };
  }

  /** Stops reading and ending sessions. */
  async close(): Promise<void> {
    this.#stop.abort();
    await Promise.all([this.#visit_task, ...this.#poll_tasks.values()]);
  }

  #refusalReason(request: PromiseAsk): RefusalReason | undefined {
    if (request.to !== this.#options.id) return "other";
    if (this.#deps.lease.remaining() <= 0) return "lapsed";
    // A take-over write that was sent may take effect at any later moment.
    if (this.#writes_in_doubt.has(request.id)) return "doubt";
    const session = this.#observations.get(request.id)?.object.value;
    if (session === undefined) return "unseen";
    if (session.state === "ended") return "ended";
    if (session.successors.includes(this.#options.id)) return undefined;
    return session.seq === request.seq ? undefined : "unnamed";
  }

  async #visitMembersInTurn(): Promise<void> {
    const interval_ms = this.#options.visit_interval_ms ?? VISIT_INTERVAL_MS;
    for (let turn = 0; await this.#sleep(interval_ms); turn++) {
      const id = this.#member_ids[turn % Math.max(1, this.#member_ids.length)];
      if (id !== undefined) this.#startPolling(id);
    }
  }

  /** Starts the polling of a session unless it runs already. */
  #startPolling(id: string): void {
    if (this.#poll_tasks.has(id) || this.#stop.signal.aborted) return;
    const task = this.#poll(id).finally(() => {
      this.#poll_tasks.delete(id);
      if (!this.#writes_in_doubt.has(id)) this.#observations.delete(id);
    });
    this.#poll_tasks.set(id, task);
  }

  /** Reads a session repeatedly and ends it once that is allowed. At most one
   * such task runs per session. */
  async #poll(id: string): Promise<void> {
    for (let reads = 0;; reads++) {
      const version_before = this.#observations.get(id)?.object.version;
      if (await this.#readOrTakeOver(id)) {
        this.#ended_listeners.notify(id);
        return;
      }
      const version_after = this.#observations.get(id)?.object.version;
      const is_renewed = reads > 0 && version_before !== version_after;
      if (this.#isPollingDone(id, is_renewed)) return;
      if (!await this.#sleep(this.#pollDelayMs(id, reads))) return;
    }
  }

  #isPollingDone(id: string, is_renewed: boolean): boolean {
    if (this.#watch_ids.has(id) || this.#writes_in_doubt.has(id)) return false;
    return is_renewed || !this.#member_ids.includes(id);
  }

  #pollDelayMs(id: string, reads: number): number {
    const { term_ms, last_term_ms } = this.#options;
    if (this.#watch_ids.has(id) || this.#writes_in_doubt.has(id)) {
      return term_ms / ROUNDS_PER_TERM;
    }
    if (reads === 0) return withDriftMargin(term_ms);
    return Math.max(term_ms, last_term_ms / READS_PER_LAST_TERM);
  }

  /** Reads the session, or continues a take-over whose outcome is uncertain.
   * Returns true if the session has certainly ended. */
  async #readOrTakeOver(id: string): Promise<boolean> {
    const pending = this.#writes_in_doubt.get(id);
    if (pending !== undefined) return await this.#resolveTakeOver(id, pending);
    const result = await this.#deps.store.get<Session>(sessionKey(id), {
      timeout_ms: this.#callTimeoutMs(),
      signal: this.#stop.signal,
    });
    if (result.isErr()) {
      if (result.error.kind === "not_found") return this.#handleMissing(id);
      this.#recordReadFailure(id);
      return false;
    }
    this.#missing_sessions.recordFound(id);
    return await this.#evaluate(id, result.value);
  }

  async #handleMissing(id: string): Promise<boolean> {
    const is_over = this.#missing_sessions.recordMissing(id);
    if (!is_over || this.#deps.lease.remaining() <= 0) return false;
    return await this.#missing_sessions.markEnded(id);
  }

  async #evaluate(id: string, object: Versioned<Session>): Promise<boolean> {
    const observed = this.#recordRead(id, object);
    if (object.value.state === "ended") return true;
    if (this.#stop.signal.aborted || !this.#canEnd(id, observed)) return false;
    const { store, clock } = this.#deps;
    const write = new SessionWrite({
      store,
      clock,
      value: { ...object.value, state: "ended", write_id: randomUUID() },
      base_version: object.version,
      timeout_ms: this.#callTimeoutMs(),
    });
    // Recorded before it is sent, so that no promise is made in the meantime.
    this.#writes_in_doubt.set(id, write);
    return await this.#resolveTakeOver(id, write);
  }

  /** Sends the write, or only reads the object back while this process has no
   * valid lease. Returns true if the session has certainly ended. */
  async #resolveTakeOver(id: string, write: SessionWrite): Promise<boolean> {
    const outcome = this.#deps.lease.remaining() > 0
      ? await write.attempt()
      : await write.readBack();
    this.#deps.metrics.count("lease.take_over", { outcome: outcome.kind });
    return this.#handleOutcome(id, outcome);
  }

  #handleOutcome(id: string, outcome: WriteOutcome): boolean {
    const { log } = this.#deps;
    switch (outcome.kind) {
      case "landed":
        this.#writes_in_doubt.delete(id);
        log.write(SESSION_TAKEN_OVER, { session: id });
        return true;
      case "lost":
        this.#writes_in_doubt.delete(id);
        log.write(TAKE_OVER_LOST, { session: id });
        if (outcome.object === undefined) return false;
        this.#recordRead(id, outcome.object);
        return outcome.object.value.state === "ended";
      case "unsent":
        this.#writes_in_doubt.delete(id);
        this.#recordReadFailure(id);
        return false;
      case "in_doubt":
        log.write(TAKE_OVER_IN_DOUBT, { session: id });
        return false;
    }
  }

  #canEnd(id: string, observation: SessionObservation): boolean {
    const now = this.#deps.clock.now();
    const { id: self_id, last_term_ms } = this.#options;
    if (now < takeOverAt(observation, { self_id, last_term_ms })) return false;
    if (now < (this.#promised_until.get(id) ?? -Infinity)) return false;
    return this.#deps.lease.remaining() > 0;
  }

  #recordRead(id: string, object: Versioned<Session>): SessionObservation {
    const now = this.#deps.clock.now();
    const previous = this.#observations.get(id);
    const is_unchanged = previous?.object.version === object.version;
    const observation = {
      object,
      first_seen_at: is_unchanged ? previous.first_seen_at : now,
      store_available_since: Math.min(
        previous?.store_available_since ?? now,
        now,
      ),
    };
    this.#observations.set(id, observation);
    return observation;
  }

  #recordReadFailure(id: string): void {
    const previous = this.#observations.get(id);
    if (previous === undefined) return;
    this.#observations.set(id, {
      ...previous,
      store_available_since: Infinity,
    });
  }

  #callTimeoutMs(): number {
    return this.#options.term_ms * STORE_CALL_TIMEOUT_RATIO;
  }

  /** Waits for `ms` milliseconds. Returns false once the watch is closed. */
  async #sleep(ms: number): Promise<boolean> {
    return await sleepUnlessAborted(this.#deps.clock, ms, this.#stop.signal);
  }
}
