/** A token bucket that holds, by default, one second's worth of its rate.
 *
 * @module
 */
import { monotonicMs } from "./timestamp.ts";

const MS_PER_S = 1_000;

/** Limits the calls per second. A rate of 0 means no limit. */
export class TokenBucket {
  #rate_per_s: number;
  #capacity: number;
  #tokens: number;
  #refilled_at_ms: number;

  constructor(rate_per_s: number, capacity = rate_per_s) {
    this.#rate_per_s = rate_per_s;
    this.#capacity = capacity;
    this.#tokens = capacity;
    this.#refilled_at_ms = monotonicMs();
  }

  /** Sets another rate; the capacity becomes one second's worth of it. */
  setRate(rate_per_s: number): void {
    this.#rate_per_s = rate_per_s;
    this.#capacity = rate_per_s;
    this.#tokens = Math.min(this.#tokens, rate_per_s);
  }

  /** Takes one token if there is one. Returns 0, or else the milliseconds until
   * the next token. */
  tryTake(): number {
    if (this.#rate_per_s === 0) return 0;
    this.#refill();
    if (this.#tokens < 1) {
      return ((1 - this.#tokens) / this.#rate_per_s) * MS_PER_S;
    }
    this.#tokens -= 1;
    return 0;
  }

  /** Reserves one token, in advance if the bucket is empty. Returns the
   * milliseconds until the reserved token is available. */
  reserve(): number {
    if (this.#rate_per_s === 0) return 0;
    this.#refill();
    this.#tokens -= 1;
    return Math.max(0, -this.#tokens / this.#rate_per_s) * MS_PER_S;
  }

  #refill(): void {
    const now_ms = monotonicMs();
    const gained = ((now_ms - this.#refilled_at_ms) / MS_PER_S) *
      this.#rate_per_s;
    this.#tokens = Math.min(this.#capacity, this.#tokens + gained);
    this.#refilled_at_ms = now_ms;
  }
}
