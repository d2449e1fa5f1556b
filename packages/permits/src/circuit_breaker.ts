/** Stops grants for a target that fails.
 *
 * @module
 */
import { BREAKER_FAILURE_THRESHOLD } from "./constants.ts";

/** Opens after failures in a row. After a successful probe one more failure
 * opens it again, until a request succeeds. */
export class CircuitBreaker {
  #failures = 0;

  /** True while the target gets no permits. */
  get open(): boolean {
    return this.#failures >= BREAKER_FAILURE_THRESHOLD;
  }

  /** Records the success of a request. */
  recordSuccess(): void {
    if (!this.open) this.#failures = 0;
  }

  /** Records a failure. Yields true if this one opened the breaker. */
  recordFailure(): boolean {
    const was_open = this.open;
    this.#failures += 1;
    return !was_open && this.open;
  }

  /** Records a successful probe. Yields true if this closed the breaker. */
  recordProbe(): boolean {
    if (!this.open) return false;
    this.#failures = BREAKER_FAILURE_THRESHOLD - 1;
    return true;
  }
}
