/** A budget of retries, so that failures do not multiply the load.
 *
 * @module
 */
import { RETRY_BUDGET_MAX, RETRY_BUDGET_RATIO } from "./constants.ts";

/** Each request adds a fraction of a retry; each retry takes one.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget();
 * budget.earn();
 * if (budget.spend()) sendAgain();
 * ```
 */
export class RetryBudget {
  #balance = RETRY_BUDGET_MAX;

  /** Counts one served request. */
  recordRequest(): void {
    this.#balance = Math.min(
      RETRY_BUDGET_MAX,
      this.#balance + RETRY_BUDGET_RATIO,
    );
  }

  /** Takes one retry. False if the budget is spent. */
  tryRetry(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
