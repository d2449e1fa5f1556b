/** Charges one request against the rate of its workspace.
 *
 * @module
 */
import type { CallerRequest, Workspace } from "@banyanlb/serving";
import * as events from "./events.ts";
import type { RelayDependencies } from "./relay_dependencies.ts";
import type { RateGrant } from "./rate_borrower.ts";

/** Bounds of the time after which a caller over its rate may return, in
 * seconds. */
const WAIT_MIN_SECONDS = 0.2;
const WAIT_MAX_SECONDS = 5;

/** Fraction of the time until its deadline that a request waits for units of
 * other instances. */
const BORROW_TIME_FRACTION = 0.25;

/** Callers that are refused together return within this fraction more. */
const WAIT_SPREAD = 0.25;

/** The units that one request uses of its workspace's rate. */
export class RateCharge {
  readonly #deps: RelayDependencies;
  readonly #workspace: Workspace | undefined;
  readonly #caller: CallerRequest;
  #grant: RateGrant | undefined;

  constructor(
    deps: RelayDependencies,
    workspace: Workspace | undefined,
    caller: CallerRequest,
  ) {
    this.#deps = deps;
    this.#workspace = workspace;
    this.#caller = caller;
  }

  /** Takes the units of a request that must end by `deadline`. Resolves to
   * undefined if the rate allows them, and otherwise to the time after which it
   * may, in seconds. */
  async take(deadline: number): Promise<number | undefined> {
    const workspace = this.#workspace;
    if (workspace === undefined) return undefined;
    const units = workspace.countsTokens
      ? this.#caller.tokens ?? workspace.defaultTokens
      : 1;
    const taken = await this.#deps.rates.take(workspace.name, {
      units,
      resumes: this.#caller.resumes,
      waitMaxMs: (deadline - performance.now()) * BORROW_TIME_FRACTION,
    });
    if (taken === undefined) return undefined;
    if ("refund" in taken) {
      this.#grant = taken;
      return undefined;
    }
    this.#deps.log.write(events.RATE_EXCEEDED, {
      id: this.#caller.id,
      workspace: workspace.name,
      units,
      resumes: this.#caller.resumes,
      left: Math.round(taken.left),
      share: taken.share,
      asked: taken.asked,
      perSecond: workspace.ratePerSecond,
      burst: workspace.burst,
    });
    const waitSeconds = Math.max(WAIT_MIN_SECONDS, taken.waitMs / 1000) *
      (1 + WAIT_SPREAD * Math.random());
    return Math.min(WAIT_MAX_SECONDS, waitSeconds);
  }

  /** Gives the units back, because the request has not run. */
  refund(): void {
    this.#grant?.refund();
    this.#grant = undefined;
  }
}
