/** Circuit breaker that stops grants for a failing target.
 *
 * @module
 */
import { BREAKER_FAILURE_THRESHOLD } from "./constants.ts";

/** Opens after consecutive failures. A successful probe closes it, but one more
 * failure opens it again unless a request succeeds first. */
export class CircuitBreaker {
  #failures = 0;

  /** True while no permits are granted for the target. */
  get open(): boolean {
    return this.#failures >= BREAKER_FAILURE_THRESHOLD;
  }

  /** Records a successful request. Has no effect while the breaker is open. */
  recordSuccess(): void {
    if (!this.open) this.#failures = 0;
  }

  /** Records a failure. Returns true if it opened the breaker. */
  recordFailure(): boolean {
    const was_open = this.open;
    this.#failures += 1;
    return !was_open && this.open;
  }

  /** Records a successful probe. Returns true if it closed the breaker. */
  recordProbe(): boolean {
    if (!this.open) return false;
    this.#failures = BREAKER_FAILURE_THRESHOLD - 1;
    return true;
  }
}
