/** Recovers the state of a target when its ownership changes: the loaded
 * adapters and the permits of former owners.
 *
 * @module
 */
import {
  FENCE_VERSION_NAME,
  REPORT_RETRY_MS,
  USE_WITHIN_MS,
} from "./constants.ts";
import { events } from "./events.ts";
import type { ReportTask } from "./report_task.ts";
import { addSafetyMargin, type TargetState } from "./target_state.ts";
import type { TargetHandoff } from "./types.ts";

/** Callbacks from the take-over to its target. */
export interface TakeOverHooks {
  /** Grants or evictions may have become possible. */
  readonly onChange: () => void;
  /** The target rejected this owner's epoch as outdated. */
  readonly onFenced: () => void;
}

/** Waits until orders of former owners can no longer take effect and collects
 * the permits that former owners granted. */
export class TakeOver {
  readonly #state: TargetState;
  readonly #reports: ReportTask;
  readonly #hooks: TakeOverHooks;
  readonly #ended_at = new Map<string, number>();
  readonly #started_at: number;

  constructor(
    state: TargetState,
    options: { readonly reports: ReportTask; readonly hooks: TakeOverHooks },
  ) {
    this.#state = state;
    this.#reports = options.reports;
    this.#hooks = options.hooks;
    this.#started_at = state.now;
  }

  /** Runs until no order of a former owner can take effect and every member
   * that may hold a permit of a former owner has reported its permits or can no
   * longer use them. */
  async run(
    members: readonly string[],
    handoff: TargetHandoff | undefined,
  ): Promise<void> {
    const awaited = handoff === undefined
      ? members
      : handoff.unreported_sessions;
    for (const member of awaited) this.#state.unreported_members.add(member);
    const all_collected = this.#collectReports(awaited);
    if (handoff !== undefined) this.#adoptHandoff(handoff);
    else if (this.#state.target.type === "engine") await this.#settleOrders();
    this.#state.are_orders_settled = true;
    this.#hooks.onChange();
    await all_collected;
    if (!this.#state.is_stopped) this.#state.log(events.take_over_complete);
  }

  /** Records that a member's session ended at the latest at `now`. */
  memberEnded(member: string, now: number): void {
    if (!this.#ended_at.has(member)) this.#ended_at.set(member, now);
  }

  #adoptHandoff(handoff: TargetHandoff): void {
    const { adapters, now, order_settle_ms } = this.#state;
    for (const permit of handoff.permits) this.#state.adoptPermit(permit);
    for (const name of handoff.loaded) {
      adapters.set(name, { status: "loaded", now });
    }
    for (const name of handoff.versions_in_doubt) {
      const settled_at = now + order_settle_ms;
      adapters.set(name, { status: "unknown", now, settled_at });
      adapters.doubt(name, now);
    }
  }

  /** Waits until no order of a former owner can take effect, then reads from
   * the engine's report which adapters are loaded. */
  async #settleOrders(): Promise<void> {
    const state = this.#state;
    const is_fenced_off = state.target.fencing === true &&
      await this.#sendFence();
    if (!is_fenced_off) await this.#sleep(state.order_settle_ms);
    while (!state.is_stopped && !await this.#reports.read()) {
      await this.#sleep(REPORT_RETRY_MS);
    }
    state.is_report_needed = true;
  }

  /** Sends the new epoch to the engine as the fencing token, so that the engine
   * rejects orders of former owners. Returns true if it has the token. */
  async #sendFence(): Promise<boolean> {
    const state = this.#state;
    const remaining = state.deps.lease.remaining();
    if (!state.rules.mayOrder(remaining, state.order_timeout_ms)) return false;
    const result = await state.deps.engine.evict(
      state.target,
      FENCE_VERSION_NAME,
      {
        epoch: state.epoch,
        timeout_ms: state.order_timeout_ms,
      },
    );
    if (result.isOk()) return true;
    if (result.error.kind === "fenced") this.#hooks.onFenced();
    return result.error.kind === "rejected";
  }

  async #collectReports(members: readonly string[]): Promise<void> {
    await Promise.all(members.map((member) => this.#collectReport(member)));
  }

  /** Requests one member's report until it replies or can no longer use a
   * permit. */
  async #collectReport(member: string): Promise<void> {
    const state = this.#state;
    const request = { target: state.target.name, epoch: state.epoch };
    while (!state.is_stopped) {
      const result = await state.deps.peers.report(member, request);
      if (state.is_stopped) return;
      if (result.isOk()) {
        for (const permit of result.value) state.adoptPermit(permit);
        break;
      }
      if (this.#canNoLongerSend(member)) {
        this.#relyOnEngineReports();
        break;
      }
      await this.#sleep(REPORT_RETRY_MS);
    }
    state.unreported_members.delete(member);
    this.#hooks.onChange();
  }

  /** True if the session of a member has ended so long ago that the member can
   * no longer send a request with a permit. The last grant of a former owner to
   * it was at the latest when this ownership began. */
  #canNoLongerSend(member: string): boolean {
    const ended_at = this.#ended_at.get(member);
    if (ended_at === undefined) return false;
    const last_grant_at = Math.max(ended_at, this.#started_at);
    return this.#state.now >= last_grant_at + addSafetyMargin(USE_WITHIN_MS);
  }

  /** Marks all adapters as in doubt and requests an engine report. Any request
   * that an ended member sent has reached the engine by now, so that a report
   * taken from now on shows it as long as it runs. */
  #relyOnEngineReports(): void {
    this.#state.adapters.doubtAll(this.#state.now);
    this.#state.is_report_needed = true;
    this.#reports.wake();
  }

  async #sleep(ms: number): Promise<void> {
    const { clock } = this.#state.deps;
    await clock.sleep(ms, this.#state.stop.signal).catch(() => {});
  }
}
