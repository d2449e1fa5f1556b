/** How many requests may be sent to a second engine.
 *
 * The allowance is common to all instances: a part of the requests in a window,
 * and a fixed number beside it. Each instance uses the part of its own requests
 * and an equal share of the fixed number.
 *
 * @module
 */

/** Part of the common allowance that is used; instances' views of each other
 * differ for moments. */
const USABLE_FRACTION = 0.75;

const BUCKET_COUNT = 10;

/** The settings of the allowance. */
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

/** The allowance of one service at one instance. */
export class RetryBudget {
  readonly #limits: RetryBudgetLimits;
  readonly #buckets: Bucket[] = [];

  constructor(limits: RetryBudgetLimits) {
    this.#limits = limits;
  }

  /** A caller's request came. */
  recordRequest(now: number): void {
    this.#bucket(now).requests += 1;
  }

  /** Takes one repeat if the window has room, with `instances` sharing.
   *
   * @example
   * ```ts
   * allowance.countRequest(0);
   * allowance.tryRepeat(1, 8);
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
