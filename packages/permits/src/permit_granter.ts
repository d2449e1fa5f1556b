/** Grants the permits of one owned target.
 *
 * @module
 */
import { USE_WITHIN_MS } from "./constants.ts";
import type { OutstandingPermit } from "./permit_table.ts";
import type { Refusals } from "./refusals.ts";
import { addSafetyMargin, type TargetState } from "./target_state.ts";
import type { PermitGranted } from "./types.ts";
import type { Waiter } from "./waiting_list.ts";

/** Grants permits to waiting requests in queue order. */
export class PermitGranter {
  readonly #state: TargetState;
  readonly #refusals: Refusals;

  constructor(state: TargetState, refusals: Refusals) {
    this.#state = state;
    this.#refusals = refusals;
  }

  /** Grants permits while the lease is valid and the target is below its limit
   * of concurrent requests. */
  grantWaiting(): void {
    const state = this.#state;
    while (this.#mayGrant()) {
      const waiter = state.waiting.take(
        state.now,
        (request) => state.canServe(request),
      );
      if (waiter === undefined) return;
      this.#grant(waiter);
    }
  }

  /** Creates another reply for a permit that has already been granted. Used
   * when a request is repeated: the first reply may have been lost. */
  repeatGrant(permit: OutstandingPermit): PermitGranted {
    const state = this.#state;
    return {
      kind: "granted",
      permit_id: permit.id,
      epoch: state.epoch,
      deadline_ms: Math.max(0, permit.deadline_at - state.now),
      use_within_ms: USE_WITHIN_MS,
      hint: state.loadHintFor(permit.version),
    };
  }

  #mayGrant(): boolean {
    const state = this.#state;
    return !state.is_ending && state.are_orders_settled &&
      !state.breaker.open &&
      state.permits.size < state.max_running &&
      state.rules.mayGrant(state.deps.lease.remaining());
  }

  #grant(waiter: Waiter): void {
    const state = this.#state;
    const { ask: request, deadline_at, queued_at } = waiter;
    const now = state.now;
    if (now >= waiter.wait_until) {
      const { version } = request;
      waiter.answer(this.#refusals.create("busy", { version }));
      return;
    }
    this.#recordGrant(waiter, now);
    waiter.answer({
      kind: "granted",
      permit_id: request.id,
      epoch: state.epoch,
      deadline_ms: deadline_at - queued_at,
      use_within_ms: now - queued_at + USE_WITHIN_MS,
      hint: state.loadHintFor(request.version),
    });
  }

  #recordGrant(waiter: Waiter, now: number): void {
    const { adapters, permits, deps } = this.#state;
    const { id, session, version, workspace, tokens } = waiter.ask;
    const tags = { class: waiter.ask.class };
    permits.add({
      ...{ id, session, version, workspace, tokens },
      ...tags,
      deadline_at: waiter.deadline_at,
      expires_at: now + addSafetyMargin(waiter.deadline_at - now),
    });
    if (version !== undefined) adapters.recordGrant(version, now);
    deps.metrics.count("permits.granted", tags);
    deps.metrics.time("permits.wait_ms", now - waiter.queued_at, tags);
  }
}
