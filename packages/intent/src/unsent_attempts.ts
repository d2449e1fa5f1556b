/** Attempts of this process that were never sent.
 *
 * @module
 */
import { UNSENT_ATTEMPTS_MAX } from "./constants.ts";

/** A bounded set of attempt ids that evicts the oldest id first. After an
 * eviction a repeat of the call may be refused, but the call never runs
 * twice. */
export class UnsentAttempts {
  readonly #ids = new Set<string>();

  /** Adds an attempt that will never send its call. */
  add(attempt_id: string): void {
    this.#ids.add(attempt_id);
    if (this.#ids.size <= UNSENT_ATTEMPTS_MAX) return;
    const [oldest] = this.#ids;
    if (oldest !== undefined) this.#ids.delete(oldest);
  }

  /** True if the attempt is remembered as never sent. */
  has(attempt_id: string): boolean {
    return this.#ids.has(attempt_id);
  }
}
