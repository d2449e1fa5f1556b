/** Failure rate of an engine, estimated from the results of this instance's
 * requests.
 *
 * @module
 */

/** Weight of one result in the moving average: five failures in a row raise the
 * rate above two thirds. */
const RESULT_WEIGHT = 0.2;

/** Weight of a request without any response. It counts more than an error: an
 * unresponsive engine serves no request, and each further attempt costs a
 * caller the whole timeout. */
const NO_RESPONSE_WEIGHT = 0.6;

/** Half-life of a failure rate without new results, in milliseconds: determines
 * how soon a recovered engine is tried again. */
const FAILURE_HALF_LIFE_MS = 2500;

/** Result of one request at an engine. */
export type EngineResult = "answered" | "failed" | "silent";

/** The failure rate of one engine. */
export class EngineHealth {
  #rate = 0;
  #updatedAt = 0;

  /** Adds a result to the failure rate. */
  recordResult(result: EngineResult, now: number): void {
    const weight = result === "silent" ? NO_RESPONSE_WEIGHT : RESULT_WEIGHT;
    const failed = result === "answered" ? 0 : 1;
    this.#rate = this.failureRate(now) * (1 - weight) + failed * weight;
    this.#updatedAt = now;
  }

  /** Failure rate in [0, 1]; decays while no results are recorded. */
  failureRate(now: number): number {
    if (this.#rate === 0) return 0;
    return this.#rate * 2 ** (-(now - this.#updatedAt) / FAILURE_HALF_LIFE_MS);
  }
}
