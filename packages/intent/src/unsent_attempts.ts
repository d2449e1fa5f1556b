/** Attempts of this process that are known as never sent.
 *
 * @module
 */
import { UNSENT_ATTEMPTS_MAX } from "./constants.ts";

/** A bounded set of attempt ids; the oldest are forgotten first. Forgetting
 * one costs a refused repeat, never a second run. */
export class UnsentAttempts {
  readonly #ids = new Set<string>();

  /** Remembers an attempt that will not send. */
  add(attempt_id: string): void {
    this.#ids.add(attempt_id);
    if (this.#ids.size <= UNSENT_ATTEMPTS_MAX) return;
    const [oldest] = this.#ids;
    if (oldest !== undefined) this.#ids.delete(oldest);
  }

  /** True if this process made the attempt and will never send it. */
  has(attempt_id: string): boolean {
    return this.#ids.has(attempt_id);
  }
}
