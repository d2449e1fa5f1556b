/** Permits, queue, loads and evictions of one owned target.
 *
 * @module
 */
import type { Target, Version } from "@banyanlb/core";
import {
  LEASE_POLL_MS,
  MAX_IDLE_WAIT_MS,
  PROBE_INTERVAL_MS,
} from "./constants.ts";
import { events } from "./events.ts";
import { PermitGranter } from "./permit_granter.ts";
import { OrderTask } from "./order_task.ts";
import { OutcomeRecorder } from "./outcome_recorder.ts";
import { permitKey } from "./permit_table.ts";
import { Refusals } from "./refusals.ts";
import { ReportTask } from "./report_task.ts";
import { TakeOver } from "./take_over.ts";
import { type OwnerDeps, TargetState } from "./target_state.ts";
import type {
  PermitAcquireRequest,
  PermitRefused,
  PermitRelease,
  PermitReply,
  TargetHandoff,
} from "./types.ts";
import type { Waiter } from "./waiting_list.ts";
import { Wakeup } from "./wakeup.ts";

/** Options with which ownership of a target begins. */
export interface HoldOptions {
  readonly target: Target;
  /** Fencing token of this ownership. */
  readonly epoch: number;
  /** Looks up a version in the current configuration. */
  readonly versions: (name: string) => Version | undefined;
  /** Session ids of all members that may hold a permit of a former owner,
   * including this instance's own. */
  readonly known_members: readonly string[];
  /** Handoff from the former owner, if it left gracefully. */
  readonly handoff?: TargetHandoff;
}

/** Grants permits for one target and sends orders to its engine.
 *
 * @example
 * ```ts
 * const owned = new OwnedTarget(deps, options);
 * const reply = await owned.acquire(request);
 * owned.release(session, { id: request.id, target, outcome: "done" });
 * await owned.close();
 * ```
 */
export class OwnedTarget {
  readonly #state: TargetState;
  readonly #refusals: Refusals;
  readonly #granter: PermitGranter;
  readonly #outcomes: OutcomeRecorder;
  readonly #order_task: OrderTask;
  readonly #report_task: ReportTask;
  readonly #take_over: TakeOver;
  readonly #limits_wakeup: Wakeup;
  readonly #all_tasks: Promise<void>;

  constructor(deps: OwnerDeps, options: HoldOptions) {
    this.#state = new TargetState(deps, options);
    const onChange = () => this.#handleChange();
    const onFenced = () => this.#handleFenced();
    const onBreakerOpen = () => this.#handleBreakerOpen();
    this.#refusals = new Refusals(this.#state);
    this.#granter = new PermitGranter(this.#state, this.#refusals);
    this.#outcomes = new OutcomeRecorder(this.#state, onBreakerOpen);
    this.#report_task = new ReportTask(this.#state, {
      onChange,
      onBreakerOpen,
    });
    this.#order_task = new OrderTask(this.#state, {
      onChange,
      onFenced,
      onLoadFailed: (version, retry_after_ms) =>
        this.#refusals.answer(
          "load_failed",
          (waiter) => waiter.ask.version === version,
          { retry_after_ms },
        ),
    });
    this.#take_over = new TakeOver(this.#state, {
      reports: this.#report_task,
      hooks: { onChange, onFenced },
    });
    this.#limits_wakeup = new Wakeup(deps.clock);
    this.#state.log(events.target_held);
    this.#all_tasks = this.#run(options).catch((error) =>
      this.#handleTaskFailure(error)
    );
  }

  /** Fencing token of this ownership. */
  get epoch(): number {
    return this.#state.epoch;
  }

  /** True once the target has rejected this owner's epoch as outdated. */
  get fenced(): boolean {
    return this.#state.fenced;
  }

  /** Number of outstanding permits. */
  get running(): number {
    return this.#state.permits.size;
  }

  /** Waits for a permit until it is granted or refused, at most for the
   * request's `wait_ms` and `deadline_ms`. The promise never rejects. A
   * repeated request gets the reply of the first one. */
  acquire(
    request: PermitAcquireRequest,
    signal?: AbortSignal,
  ): Promise<PermitReply> {
    const key = permitKey(request.session, request.id);
    const granted = this.#state.permits.get(key);
    if (granted !== undefined) {
      return Promise.resolve(this.#granter.repeatGrant(granted));
    }
    const waiting = this.#state.waiting.get(key);
    if (waiting !== undefined) return waiting.reply;
    const refusal = this.#refuseImmediately(request);
    if (refusal !== undefined) return Promise.resolve(refusal);
    return this.#enqueue(request, signal);
  }

  /** Releases a permit, or withdraws a request that waits for one. Returns
   * false if the session must send the release again: this owner has not yet
   * received the session's report, or it is handing off or has stopped. */
  release(session: string, release: PermitRelease): boolean {
    const state = this.#state;
    if (state.is_quiesced || state.is_stopped) return false;
    const key = permitKey(session, release.id);
    if (state.waiting.end(key, this.#refusals.create("busy"))) return true;
    const permit = state.permits.remove(key);
    if (permit === undefined) return !state.unreported_members.has(session);
    this.#outcomes.recordRelease(permit, release);
    this.#handleChange();
    return true;
  }

  /** Replaces the target's configuration. No more permits are granted for a
   * leaving target. */
  update(target: Target): void {
    this.#state.target = target;
    if (target.leaving === true) this.#refusals.answerAll("leaving");
    else this.#handleChange();
  }

  /** Records that a member's session has ended. */
  memberEnded(member: string): void {
    this.#take_over.memberEnded(member, this.#state.now);
  }

  /** Stops granting permits and sending orders, waits until no load or
   * eviction is in progress, and returns the state for the next owner. Returns
   * `undefined` if orders of a former owner may still take effect. */
  async quiesce(): Promise<TargetHandoff | undefined> {
    const state = this.#state;
    state.is_quiesced = true;
    this.#refusals.answerAll("not_owner");
    await this.#order_task.waitUntilIdle();
    // Orders of a former owner may still change which adapters are loaded.
    if (!state.are_orders_settled) return undefined;
    const records = state.adapters.records();
    const confirmed = records.filter((record) =>
      record.status === "loaded" && record.in_doubt_since === undefined
    );
    const unconfirmed = records.filter((record) => !confirmed.includes(record));
    return {
      target: state.target.name,
      epoch: state.epoch,
      permits: state.permits.toHeldPermits(state.now),
      loaded: confirmed.map((record) => record.name),
      versions_in_doubt: unconfirmed.map((record) => record.name),
      unreported_sessions: [...state.unreported_members],
    };
  }

  /** Refuses every waiting request and stops the tasks. */
  async close(): Promise<void> {
    this.#stop();
    await this.#all_tasks;
  }

  async #run(options: HoldOptions): Promise<void> {
    const { known_members, handoff } = options;
    const is_engine = options.target.type === "engine";
    await Promise.all([
      this.#watchTimeLimits(),
      this.#take_over.run(known_members, handoff),
      is_engine ? this.#runEngine() : this.#probeService(),
    ]);
  }

  /** Closes the circuit breaker of a plain service at intervals. A plain
   * service has no report, so the next request serves as the probe; one more
   * failure opens the breaker again. */
  async #probeService(): Promise<void> {
    const { breaker, deps, stop } = this.#state;
    while (!this.#state.is_stopped) {
      await deps.clock.sleep(PROBE_INTERVAL_MS, stop.signal).catch(() => {});
      if (breaker.recordProbe()) this.#state.log(events.target_recovered);
    }
  }

  async #runEngine(): Promise<void> {
    await Promise.all([this.#order_task.run(), this.#report_task.run()]);
  }

  /** Ends waiting requests and permits when their time is over, and refuses
   * waiting requests once the lease has expired. */
  async #watchTimeLimits(): Promise<void> {
    const state = this.#state;
    while (!state.is_stopped) {
      const next = Math.min(
        state.permits.nextExpiry(),
        state.waiting.nextWaitEnd(),
        state.now + (state.waiting.size > 0 ? LEASE_POLL_MS : MAX_IDLE_WAIT_MS),
      );
      if (next > state.now) await this.#limits_wakeup.wait(next - state.now);
      this.#endExpired();
    }
  }

  #endExpired(): void {
    const state = this.#state;
    const now = state.now;
    this.#refusals.answer("busy", (waiter) => waiter.wait_until <= now);
    if (!state.rules.mayGrant(state.deps.lease.remaining())) {
      this.#refusals.answerAll("unavailable");
    }
    for (const item of state.permits.expire(now)) this.#outcomes.expire(item);
    this.#grantAndWakeTasks();
  }

  /** Called when state has changed that grants, orders or reports depend on. */
  #handleChange(): void {
    this.#grantAndWakeTasks();
    this.#limits_wakeup.wake();
  }

  #grantAndWakeTasks(): void {
    this.#granter.grantWaiting();
    this.#order_task.wake();
    this.#report_task.wake();
  }

  #refuseImmediately(request: PermitAcquireRequest): PermitRefused | undefined {
    const { breaker, deps, target, versions } = this.#state;
    if (
      this.#state.is_quiesced || this.#state.is_stopped || this.#state.fenced
    ) {
      return this.#refusals.create("not_owner");
    }
    if ((request.epoch ?? 0) > this.epoch) {
      return this.#refusals.create("not_owner");
    }
    if (target.leaving === true) return this.#refusals.create("leaving");
    if (breaker.open) return this.#refusals.create("unavailable");
    if (!this.#state.rules.mayGrant(deps.lease.remaining())) {
      return this.#refusals.create("unavailable");
    }
    if (request.version === undefined) return undefined;
    const backoff_ms = this.#order_task.backoff.delayMs(
      request.version,
      this.#state.now,
    );
    if (this.#order_task.backoff.isRefusing(request.version, this.#state.now)) {
      return this.#refusals.create("load_failed", {
        retry_after_ms: backoff_ms,
      });
    }
    const is_known = versions(request.version) !== undefined;
    return is_known
      ? undefined
      : this.#refusals.create("busy", { version: request.version });
  }

  #enqueue(
    request: PermitAcquireRequest,
    signal?: AbortSignal,
  ): Promise<PermitReply> {
    const state = this.#state;
    const queued_at = state.now;
    const deadline_ms = Math.min(request.deadline_ms, state.max_deadline_ms);
    const wait_ms = Math.min(deadline_ms, request.wait_ms ?? deadline_ms);
    const waiter = state.waiting.add(request, {
      queued_at,
      deadline_at: queued_at + deadline_ms,
      wait_until: queued_at + wait_ms,
    });
    if (waiter === undefined) {
      return Promise.resolve(
        this.#refusals.create("busy", { version: request.version }),
      );
    }
    this.#handleChange();
    if (signal !== undefined) this.#withdrawOnAbort(waiter, signal);
    return waiter.reply;
  }

  #withdrawOnAbort(waiter: Waiter, signal: AbortSignal): void {
    const onAbort = () => {
      const reply = this.#refusals.create("busy", {
        version: waiter.ask.version,
      });
      this.#state.waiting.end(waiter.key, reply);
    };
    if (signal.aborted) onAbort();
    signal.addEventListener("abort", onAbort, { once: true });
    void waiter.reply.then(() => signal.removeEventListener("abort", onAbort));
  }

  #handleFenced(): void {
    this.#state.fenced = true;
    this.#state.log(events.target_fenced);
    this.#refusals.answerAll("not_owner");
  }

  #handleBreakerOpen(): void {
    this.#refusals.answerAll("unavailable");
    this.#report_task.wake();
  }

  #handleTaskFailure(error: unknown): void {
    this.#state.log(events.task_failed, { reason: String(error) });
    this.#stop();
  }

  #stop(): void {
    this.#state.stop.abort(new Error("target is no longer owned"));
    this.#refusals.answerAll("not_owner");
    this.#limits_wakeup.wake();
    this.#order_task.wake();
    this.#report_task.wake();
  }
}
