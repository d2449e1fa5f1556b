/** Charges one request against the rate of its workspace.
 *
 * @module
 */
import type { CallerRequest, Workspace } from "@banyanlb/serving";
import * as events from "./events.ts";
import type { RelayDependencies } from "./relay_dependencies.ts";

/** Bounds of the time after which a caller over its rate may return, in
 * seconds. */
const WAIT_MIN_SECONDS = 0.2;
const WAIT_MAX_SECONDS = 5;

/** The units that one request uses of its workspace's rate. */
export class RateCharge {
  readonly #deps: RelayDependencies;
  readonly #workspace: Workspace | undefined;
  readonly #caller: CallerRequest;
  #units = 0;

  constructor(
    deps: RelayDependencies,
    workspace: Workspace | undefined,
    caller: CallerRequest,
  ) {
    this.#deps = deps;
    this.#workspace = workspace;
    this.#caller = caller;
  }

  /** Takes the request's units. Returns undefined if the rate allows them, and
   * otherwise the time after which it may, in seconds. */
  take(): number | undefined {
    const workspace = this.#workspace;
    if (workspace === undefined) return undefined;
    const tokenRate = this.#deps.rateOf(workspace);
    if (tokenRate === undefined) return undefined;
    const units = workspace.countsTokens
      ? this.#caller.tokens ?? workspace.defaultTokens
      : 1;
    const now = performance.now();
    const silentShare = this.#deps.members.silentShare(now);
    tokenRate.advance(now, silentShare);
    if (tokenRate.tryTake(units)) {
      this.#units = units;
      return undefined;
    }
    this.#deps.log.write(events.RATE_EXCEEDED, {
      id: this.#caller.id,
      workspace: workspace.name,
      units,
      level: Math.round(tokenRate.level),
      perSecond: workspace.ratePerSecond,
      burst: workspace.burst,
      silentShare,
      ...tokenRate.state,
    });
    return Math.min(
      WAIT_MAX_SECONDS,
      Math.max(WAIT_MIN_SECONDS, tokenRate.waitMs(units) / 1000),
    );
  }

  /** Gives the units back, because the request has not run. */
  refund(): void {
    if (this.#workspace === undefined || this.#units === 0) return;
    this.#deps.rateOf(this.#workspace)?.refund(this.#units);
    this.#units = 0;
  }
}
