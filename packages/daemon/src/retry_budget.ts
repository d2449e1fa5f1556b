/** Retry budget, which keeps retries from multiplying the load when targets
 * fail.
 *
 * @module
 */
import { RETRY_BUDGET_MAX, RETRY_BUDGET_RATIO } from "./constants.ts";

/** Limits retries to a fraction of the requests. Each request adds
 * `RETRY_BUDGET_RATIO` to the balance, up to `RETRY_BUDGET_MAX`; each retry takes
 * one from it.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget();
 * budget.recordRequest();
 * if (budget.tryRetry()) sendAgain();
 * ```
 */
export class RetryBudget {
  #balance = RETRY_BUDGET_MAX;

  /** Adds to the balance for one request. */
  recordRequest(): void {
    this.#balance = Math.min(
      RETRY_BUDGET_MAX,
      this.#balance + RETRY_BUDGET_RATIO,
    );
  }

  /** Takes one retry from the balance. Returns false if less than one is left. */
  tryRetry(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
