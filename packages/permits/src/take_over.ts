/** Makes a new owner certain of what its predecessors left behind.
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

/** Calls of the take-over into its target. */
export interface TakeOverHooks {
  /** Grants or evictions may be possible that were not before. */
  readonly onChange: () => void;
  /** The target rejected the epoch. */
  readonly onFenced: () => void;
}

/** Settles the orders and permits of former owners. */
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

  /** Runs until the former owners' orders and permits are known. */
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

  /** Waits until no order of a former owner can take effect, then reads what
   * is loaded. */
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

  /** Shows the engine the new epoch, so that it rejects orders under way. */
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

  /** Asks one member until it answers or can no longer hold a permit. */
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

  /** True if an ended member can no longer use a permit. A former owner
   * granted none after this ownership began. */
  #canNoLongerSend(member: string): boolean {
    const ended_at = this.#ended_at.get(member);
    if (ended_at === undefined) return false;
    const last_grant_at = Math.max(ended_at, this.#started_at);
    return this.#state.now >= last_grant_at + addSafetyMargin(USE_WITHIN_MS);
  }

  /** What an ended member sent is at the engine or nowhere: a report that is
   * taken from now on shows it, while it runs. */
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
