/** Logs how instances count the use of workspaces that are near their limits.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import type { MemberTable, TokenRate } from "@banyanlb/serving";
import type { ReportAges } from "./digest_exchange.ts";
import * as events from "./events.ts";

/** Time between lines for a workspace, in milliseconds. */
const INTERVAL_MS = 1000;

/** Fraction of the limit above which the use is logged. */
const LOGGED_FRACTION = 0.5;

/** Dependencies of the log of rates. */
export interface RateLogOptions {
  readonly rates: ReadonlyMap<string, TokenRate>;
  readonly members: MemberTable;
  readonly reportAges: (now: number) => ReportAges;
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
    const { rates, members, reportAges, log } = this.#options;
    const silentShare = members.silentShare(now);
    const ages = reportAges(now);
    for (const [workspace, rate] of rates) {
      rate.advance(now, silentShare);
      const { state } = rate;
      if (state.window < state.allowed * LOGGED_FRACTION) continue;
      log.write(events.RATE_STATE, {
        workspace,
        ...state,
        ...ages,
        silentShare,
      });
    }
  }
}
