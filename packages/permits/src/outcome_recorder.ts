/** Updates a target's state when its permits end.
 *
 * @module
 */
import { events } from "./events.ts";
import type { OutstandingPermit } from "./permit_table.ts";
import type { TargetState } from "./target_state.ts";
import type { PermitRelease } from "./types.ts";

/** Records released and expired permits. */
export class OutcomeRecorder {
  readonly #state: TargetState;
  readonly #onBreakerOpen: () => void;

  constructor(state: TargetState, onBreakerOpen: () => void) {
    this.#state = state;
    this.#onBreakerOpen = onBreakerOpen;
  }

  /** Records how a request ended. */
  recordRelease(permit: OutstandingPermit, release: PermitRelease): void {
    const { breaker } = this.#state;
    this.#correctTokenCharge(permit, release);
    if (release.outcome === "done") breaker.recordSuccess();
    if (release.outcome === "failed" && breaker.recordFailure()) this.#onOpen();
    if (permit.version === undefined) return;
    if (release.outcome === "not_loaded") this.#markUnknown(permit.version);
    if (release.outcome === "done" || release.outcome === "unused") return;
    this.#state.adapters.doubt(permit.version, this.#state.now);
  }

  /** Records that a permit expired without being released. */
  expire(permit: OutstandingPermit): void {
    const state = this.#state;
    state.log(events.permit_expired, { permit: permit.id });
    state.deps.metrics.count("permits.expired");
    if (permit.version === undefined) return;
    state.adapters.doubt(permit.version, state.now);
  }

  #onOpen(): void {
    this.#state.log(events.target_failing);
    this.#onBreakerOpen();
  }

  #correctTokenCharge(permit: OutstandingPermit, release: PermitRelease): void {
    if (permit.class === undefined) return;
    const used = release.outcome === "unused" ? 0 : release.tokens;
    if (used === undefined) return;
    this.#state.waiting.settle({
      workspace: permit.workspace,
      class: permit.class,
      tokens: used - permit.tokens,
    });
  }

  /** Handles a version that the engine no longer has loaded: its status is
   * unknown until the engine's next report. */
  #markUnknown(version: string): void {
    const { adapters, now } = this.#state;
    this.#state.is_report_needed = true;
    if (adapters.get(version)?.status !== "loaded") return;
    adapters.set(version, { status: "unknown", now });
  }
}
