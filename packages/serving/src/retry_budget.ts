/** Limits how many requests may be retried on another engine.
 *
 * All instances share the retry budget of a service: a fraction of the requests
 * in a sliding window plus a fixed number. Each instance may use the fraction
 * of its own requests and an equal share of the fixed number.
 *
 * @module
 */

/** Fraction of the budget that is used, since the instances' views of each
 * other differ for short times. */
const USABLE_FRACTION = 0.75;

const BUCKET_COUNT = 10;

/** Limits of a retry budget. */
export interface RetryBudgetLimits {
  readonly ratio: number;
  readonly windowMs: number;
  readonly fixedRetries: number;
}

interface Bucket {
  readonly slot: number;
  requests: number;
  retries: number;
}

/** The retry budget of one service at one instance. */
export class RetryBudget {
  readonly #limits: RetryBudgetLimits;
  readonly #buckets: Bucket[] = [];

  constructor(limits: RetryBudgetLimits) {
    this.#limits = limits;
  }

  /** Records a caller's request. */
  recordRequest(now: number): void {
    this.#bucket(now).requests += 1;
  }

  /** Uses one retry if the window's budget allows it, with `instances` sharing
   * the budget. Returns whether it does.
   *
   * @example
   * ```ts
   * budget.recordRequest(0);
   * budget.tryRetry(1, 8);
   * ```
   */
  tryRetry(now: number, instances: number): boolean {
    const bucket = this.#bucket(now);
    let requests = 0;
    let retries = 0;
    for (const b of this.#buckets) {
      requests += b.requests;
      retries += b.retries;
    }
    const allowed = USABLE_FRACTION *
      (this.#limits.ratio * requests +
        this.#limits.fixedRetries / Math.max(1, instances));
    if (retries + 1 > allowed) return false;
    bucket.retries += 1;
    return true;
  }

  #bucket(now: number): Bucket {
    const slot = Math.floor(now / (this.#limits.windowMs / BUCKET_COUNT));
    const last = this.#buckets.at(-1);
    if (last?.slot === slot) return last;
    const bucket = { slot, requests: 0, retries: 0 };
    this.#buckets.push(bucket);
    while ((this.#buckets[0]?.slot ?? slot) <= slot - BUCKET_COUNT) {
      this.#buckets.shift();
    }
    return bucket;
  }
}
