/** Reads an engine's report at intervals, and sooner when a status is in doubt.
 *
 * @module
 */
import type { EngineReport } from "@banyanlb/core";
import {
  PROBE_INTERVAL_MS,
  REPORT_INTERVAL_MS,
  REPORT_RETRY_MS,
  REPORT_TIMEOUT_MS,
} from "./constants.ts";
import { events } from "./events.ts";
import type { TargetState } from "./target_state.ts";
import { Wakeup } from "./wakeup.ts";

/** Callbacks from the report task to its target. */
export interface ReportTaskHooks {
  /** An adapter's status may have changed, or the target recovered. */
  readonly onChange: () => void;
  /** Failed reports opened the circuit breaker: no more permits are granted. */
  readonly onBreakerOpen: () => void;
}

/** Reads the reports of one engine, one at a time. */
export class ReportTask {
  readonly #state: TargetState;
  readonly #hooks: ReportTaskHooks;
  readonly #wakeup: Wakeup;
  #boot_id: string | undefined;
  #last_read_at = -Infinity;

  constructor(state: TargetState, hooks: ReportTaskHooks) {
    this.#state = state;
    this.#hooks = hooks;
    this.#wakeup = new Wakeup(state.deps.clock);
  }

  /** Runs until the target is stopped. */
  async run(): Promise<void> {
    while (!this.#state.is_stopped) {
      const delay_ms = this.#delayMs();
      if (delay_ms > 0) await this.#wakeup.wait(delay_ms);
      else await this.read();
    }
  }

  /** Makes the task check now whether a report is needed. */
  wake(): void {
    this.#wakeup.wake();
  }

  /** Reads one report. Returns true if the engine replied. */
  async read(): Promise<boolean> {
    const state = this.#state;
    const sent_at = state.now;
    this.#last_read_at = sent_at;
    state.is_report_needed = false;
    const result = await state.deps.engine.report(
      state.target,
      REPORT_TIMEOUT_MS,
    );
    if (state.is_stopped) return false;
    if (result.isErr()) {
      this.#recordFailure(result.error.message);
      return false;
    }
    this.#applyReport(result.value, sent_at - result.value.age_ms);
    return true;
  }

  #delayMs(): number {
    const due_at = this.#last_read_at + this.#intervalMs();
    return due_at - this.#state.now;
  }

  #intervalMs(): number {
    const { adapters, breaker, now, is_report_needed, waiting } = this.#state;
    if (breaker.open) return PROBE_INTERVAL_MS;
    const is_needed = is_report_needed || adapters.hasResolvableOutcome(now) ||
      (waiting.size > 0 && adapters.hasDoubt());
    return is_needed ? REPORT_RETRY_MS : REPORT_INTERVAL_MS;
  }

  #recordFailure(reason: string): void {
    const state = this.#state;
    state.deps.metrics.count("permits.report_failed");
    if (!state.breaker.recordFailure()) return;
    state.log(events.target_failing, { reason });
    this.#hooks.onBreakerOpen();
  }

  #applyReport(report: EngineReport, taken_at: number): void {
    const state = this.#state;
    const missing = state.adapters.applyReport(report, {
      taken_at,
      now: state.now,
    });
    const restarted = this.#boot_id !== undefined &&
      this.#boot_id !== report.boot_id;
    this.#boot_id = report.boot_id;
    if (restarted) {
      state.log(events.engine_restarted, { missing: missing.length });
    }
    if (state.breaker.recordProbe()) state.log(events.target_recovered);
    this.#hooks.onChange();
  }
}
