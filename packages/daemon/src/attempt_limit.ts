/** Limits the attempts of one request.
 *
 * @module
 */

/** Maximum attempts of one request. */
const ATTEMPTS_MAX = 4;

/** Maximum attempts in which a target may have run the request. A request that
 * ends the targets that it runs on then ends two of them, and not one after the
 * other. */
const RUNS_MAX = 2;

/** Counts the attempts of one request. */
export class AttemptLimit {
  #attempts = 0;
  #runs = 0;

  /** Whether the request may be sent to another target. */
  get allowsAnother(): boolean {
    return this.#attempts < ATTEMPTS_MAX && this.#runs < RUNS_MAX;
  }

  /** Records an attempt that failed.
   *
   * @example
   * ```ts
   * limit.recordFailure({ mayHaveRun: !refusal.not_run });
   * ```
   */
  recordFailure(attempt: { readonly mayHaveRun: boolean }): void {
    this.#attempts += 1;
    if (attempt.mayHaveRun) this.#runs += 1;
  }
}
