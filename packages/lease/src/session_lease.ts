/** The lease on a process's own session.
 *
 * @module
 */
import type { Session } from "@banyanlb/core";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { randomUUID } from "node:crypto";
import {
  END_ATTEMPTS,
  ROUNDS_PER_TERM,
  STORE_CALL_TIMEOUT_RATIO,
} from "./constants.ts";
import { sleepUnlessAborted } from "./sleep.ts";
import { SuccessorPromises } from "./successor_promises.ts";
import {
  type ConfirmedRenewal,
  createSession,
  type LeaseDeps,
  type LeaseError,
  type LeaseOptions,
} from "./session_start.ts";
import {
  LEASE_EXPIRED,
  RENEWAL_UNCONFIRMED,
  SESSION_ENDED,
  SESSION_ENDED_BY_OTHER,
  SESSION_STARTED,
} from "./events.ts";
import { Listeners } from "./listeners.ts";
import {
  sessionKey,
  SessionWrite,
  type WriteOutcome,
} from "./session_write.ts";

/** Options of {@linkcode SessionLease.end}. */
export interface EndOptions {
  /** Removes the session's object from the store after the session ended. */
  readonly remove?: boolean;
}

/** Lease on this process's session, renewed in the background until `end` or
 * `close`.
 *
 * @example
 * ```ts
 * const lease = (await SessionLease.start(deps, {
 *   id: crypto.randomUUID(),
 *   term_ms: 9_000,
 *   last_term_ms: 900_000,
 *   successors: [],
 * }))._unsafeUnwrap();
 * if (lease.remaining() > order_timeout_ms) sendOrder();
 * ```
 */
export class SessionLease {
  readonly id: string;
  readonly #deps: LeaseDeps;
  readonly #options: LeaseOptions;
  readonly #ended_listeners: Listeners<void>;
  readonly #stop = new AbortController();
  readonly #promises: SuccessorPromises;
  #confirmed_renewal: ConfirmedRenewal;
  #pending_renewal: SessionWrite | undefined;
  #successors: readonly string[];
  #is_closed = false;
  #is_expiry_logged = false;
  #renewal_task: Promise<void>;

  private constructor(
    deps: LeaseDeps,
    options: LeaseOptions,
    confirmed: ConfirmedRenewal,
  ) {
    this.#deps = deps;
    this.#options = options;
    this.id = options.id;
    this.#confirmed_renewal = confirmed;
    this.#successors = options.successors;
    this.#ended_listeners = new Listeners(deps.log);
    this.#promises = new SuccessorPromises(deps, options);
    this.#renewal_task = this.#renewPeriodically();
  }

  /** Creates the session's object and starts the renewals. Retries while the
   * store does not answer. Errors: `id_in_use`, `aborted`. */
  static start(
    deps: LeaseDeps,
    options: LeaseOptions,
  ): ResultAsync<SessionLease, LeaseError> {
    return new ResultAsync(createSession(deps, options)).map((confirmed) => {
      deps.log.write(SESSION_STARTED, { session: options.id });
      return new SessionLease(deps, options, confirmed);
    });
  }

  /** Remaining validity in milliseconds; 0 once the lease has expired or the
   * session has ended. Check it in the same event-loop turn as the action that
   * needs the lease. */
  remaining(): number {
    if (this.#is_closed) return 0;
    return Math.max(0, this.#validUntil() - this.#deps.clock.now());
  }

  /** Replaces the successors; takes effect with the next renewal. */
  setSuccessors(ids: readonly string[]): void {
    this.#successors = ids;
  }

  /** Successors in the last renewal that the store confirmed. */
  successors(): readonly string[] {
    return this.#confirmed_renewal.value.successors;
  }

  /** Registers a callback that is called when it is certain that another
   * process ended the session. Returns a function that removes the callback. */
  onEnded(callback: () => void): () => void {
    return this.#ended_listeners.add(callback);
  }

  /** Ends the session, so that successors need not wait for its expiry. The
   * lease is invalid from the call on. `remove` also deletes the session's
   * object; set it only after the member has left the fleet. Error: `in_doubt`
   * if the store did not confirm the end; the successors then end the
   * session. */
  end(options: EndOptions = {}): ResultAsync<void, LeaseError> {
    this.#is_closed = true;
    this.#stop.abort();
    return new ResultAsync(this.#writeEnd(options));
  }

  /** Stops renewing. The lease is invalid from the call on. */
  async close(): Promise<void> {
    this.#is_closed = true;
    this.#stop.abort();
    await this.#renewal_task;
  }

  /** Returns all successors that may take over: those of the last confirmed
   * renewal, and those of a pending renewal, which may take effect at any
   * moment. */
  #possibleSuccessors(): ReadonlySet<string> {
    return new Set([
      ...this.#confirmed_renewal.value.successors,
      ...(this.#pending_renewal?.value.successors ?? []),
    ]);
  }

  #validUntil(): number {
    const { sent_at } = this.#confirmed_renewal;
    const store_valid_until = sent_at + this.#options.term_ms;
    const last_term_end = sent_at + this.#options.last_term_ms;
    return Math.min(
      Math.max(store_valid_until, this.#promisedUntil()),
      last_term_end,
    );
  }

  /** Returns the clock reading until which no successor takes over. Without
   * successors no process may take over before the last term ends, but the
   * result is limited to one term from now, because the next renewal may name
   * successors. */
  #promisedUntil(): number {
    const successors = this.#possibleSuccessors();
    if (successors.size > 0) return this.#promises.promisedUntil(successors);
    return this.#deps.clock.now() + this.#options.term_ms;
  }

  async #renewPeriodically(): Promise<void> {
    const { clock } = this.#deps;
    const interval_ms = this.#options.term_ms / ROUNDS_PER_TERM;
    let next_at = this.#confirmed_renewal.sent_at + interval_ms;
    while (!this.#is_closed) {
      const wait_ms = next_at - clock.now();
      if (
        wait_ms > 0 &&
        !await sleepUnlessAborted(clock, wait_ms, this.#stop.signal)
      ) {
        return;
      }
      if (this.#is_closed) return;
      next_at = clock.now() + interval_ms;
      const is_recent = await this.#renew();
      if (!is_recent) next_at = clock.now();
    }
  }

  /** Attempts one renewal. Returns false if the next one is due at once. */
  async #renew(): Promise<boolean> {
    this.#recordExpiry();
    this.#pending_renewal ??= this.#createRenewal();
    const outcome = await this.#pending_renewal.attempt();
    if (this.#is_closed) return true;
    return this.#handleOutcome(this.#pending_renewal, outcome);
  }

  #handleOutcome(write: SessionWrite, outcome: WriteOutcome): boolean {
    const { metrics } = this.#deps;
    metrics.count("lease.renewal", { outcome: outcome.kind });
    switch (outcome.kind) {
      case "landed":
        this.#recordConfirmation(write, outcome);
        return this.#isRenewalRecent();
      case "lost":
        this.#handleEndByOther();
        return true;
      case "unsent":
      case "in_doubt":
        this.#deps.log.write(RENEWAL_UNCONFIRMED, {
          session: this.id,
          outcome: outcome.kind,
          reason: outcome.error.kind,
        });
        this.#promises.ask(
          this.#possibleSuccessors(),
          this.#confirmed_renewal.value.seq,
        );
        return true;
    }
  }

  #recordConfirmation(
    write: SessionWrite,
    confirmation: { readonly version: string; readonly sent_at: number },
  ): void {
    this.#pending_renewal = undefined;
    this.#confirmed_renewal = { ...confirmation, value: write.value };
    this.#promises.retainOnly(this.#possibleSuccessors());
    if (this.remaining() > 0) this.#is_expiry_logged = false;
  }

  #isRenewalRecent(): boolean {
    const age_ms = this.#deps.clock.now() - this.#confirmed_renewal.sent_at;
    return age_ms < this.#options.term_ms / ROUNDS_PER_TERM;
  }

  #createRenewal(): SessionWrite {
    const { value, version } = this.#confirmed_renewal;
    return this.#createWrite(version, {
      ...value,
      seq: value.seq + 1,
      successors: this.#successors,
      write_id: randomUUID(),
    });
  }

  #createWrite(base_version: string, value: Session): SessionWrite {
    const { store, clock } = this.#deps;
    const timeout_ms = this.#options.term_ms * STORE_CALL_TIMEOUT_RATIO;
    return new SessionWrite({ store, clock, value, base_version, timeout_ms });
  }

  #recordExpiry(): void {
    if (this.#is_expiry_logged || this.remaining() > 0) return;
    this.#is_expiry_logged = true;
    this.#deps.metrics.count("lease.lapsed");
    this.#deps.log.write(LEASE_EXPIRED, { session: this.id });
  }

  #handleEndByOther(): void {
    this.#is_closed = true;
    this.#stop.abort();
    this.#deps.metrics.count("lease.ended_by_other");
    this.#deps.log.write(SESSION_ENDED_BY_OTHER, { session: this.id });
    this.#ended_listeners.notify();
  }

  async #writeEnd(
    options: EndOptions,
  ): Promise<Result<void, LeaseError>> {
    await this.#renewal_task;
    let { version, value } = this.#confirmed_renewal;
    for (let i = 0; i < END_ATTEMPTS; i++) {
      const ended_session: Session = {
        ...value,
        state: "ended",
        write_id: randomUUID(),
      };
      const outcome = await this.#createWrite(version, ended_session).attempt();
      if (outcome.kind === "lost") {
        if (outcome.object?.value.state !== "live") return ok(undefined);
        // An unconfirmed renewal had taken effect: end the newer version.
        ({ version, value } = outcome.object);
        continue;
      }
      if (outcome.kind !== "landed") continue;
      this.#deps.log.write(SESSION_ENDED, { session: this.id });
      if (options.remove === true) {
        await this.#deps.store.remove(sessionKey(this.id), outcome.version);
      }
      return ok(undefined);
    }
    return err({
      kind: "in_doubt",
      message: "the store did not confirm the end; successors will end it",
    });
  }
}
