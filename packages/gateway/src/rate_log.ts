/** Logs the use of shares that are nearly used up.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import * as events from "./events.ts";
import type { WorkspaceRates } from "./workspace_rates.ts";

/** Time between lines for a workspace, in milliseconds. */
const INTERVAL_MS = 1000;

/** Fraction of the share above which its use is logged. */
const LOGGED_FRACTION = 0.5;

/** Dependencies of the log of rates. */
export interface RateLogOptions {
  readonly rates: Pick<WorkspaceRates, "states">;
  readonly log: EventLog;
}

/** Writes event 858. */
export class RateLog {
  readonly #options: RateLogOptions;
  #nextAt = 0;

  constructor(options: RateLogOptions) {
    this.#options = options;
  }

  /** Writes the lines that are due. */
  tick(now: number): void {
    if (now < this.#nextAt) return;
    this.#nextAt = now + INTERVAL_MS;
    const { rates, log } = this.#options;
    for (const state of rates.states(now)) {
      const isNearlyUsed = state.left < state.shareUnits * LOGGED_FRACTION;
      if (!isNearlyUsed && state.asked === 0) continue;
      log.write(events.RATE_STATE, { ...state });
    }
  }
}
