/** How far an engine is trusted, from the results of this instance's requests.
 *
 * @module
 */

/** Weight of one result against those before it: five failures in a row bring
 * the rate above two thirds. */
const RESULT_WEIGHT = 0.2;

/** A request that got no answer at all says more than an error: a dark engine
 * answers nobody, and each further try costs a caller the whole wait. */
const NO_RESPONSE_WEIGHT = 0.6;

/** Half-life of a failure rate without new results, in milliseconds: how soon
 * an engine that recovered is tried again. */
const FAILURE_HALF_LIFE_MS = 2500;

/** A result of one request at an engine. */
export type EngineResult = "answered" | "failed" | "silent";

/** The failure rate of one engine. */
export class EngineHealth {
  #rate = 0;
  #updatedAt = 0;

  /** Takes in a result. */
  recordResult(result: EngineResult, now: number): void {
    const weight = result === "silent" ? NO_RESPONSE_WEIGHT : RESULT_WEIGHT;
    const failed = result === "answered" ? 0 : 1;
    this.#rate = this.failureRate(now) * (1 - weight) + failed * weight;
    this.#updatedAt = now;
  }

  /** Failure rate in [0, 1], fading while nothing is sent. */
  failureRate(now: number): number {
    return this.#rate * 2 ** (-(now - this.#updatedAt) / FAILURE_HALF_LIFE_MS);
  }
}
