/** Progress of long-running work.
 *
 * @module
 */
import { PROGRESS_INTERVAL_MS } from "./constants.ts";

/** Writes progress lines for long-running work, at most one per
 * {@linkcode PROGRESS_INTERVAL_MS}.
 *
 * @example
 * ```ts
 * const progress = new Progress("reading objects", console.error);
 * progress.step(500, 20_000);
 * ```
 */
export class Progress {
  readonly #label: string;
  readonly #write: (text: string) => void;
  #shown_at_ms = performance.now();

  constructor(label: string, write: (text: string) => void) {
    this.#label = label;
    this.#write = write;
  }

  /** Reports that `done` of `total` items are complete. */
  step(done: number, total?: number): void {
    const now_ms = performance.now();
    if (now_ms - this.#shown_at_ms < PROGRESS_INTERVAL_MS) return;
    this.#shown_at_ms = now_ms;
    const total_text = total === undefined ? "" : ` of ${total}`;
    this.#write(`${this.#label}: ${done}${total_text}`);
  }
}
