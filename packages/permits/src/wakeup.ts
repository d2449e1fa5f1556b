/** Timed wait of a task that other code can end early.
 *
 * @module
 */
import type { Clock } from "@banyanlb/core";

/** A flag that one task waits for. If {@linkcode wake} is called while the task
 * is not waiting, the next wait ends at once. */
export class Wakeup {
  readonly #clock: Clock;
  #pending = false;
  #wake: (() => void) | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Ends the current or the next wait. */
  wake(): void {
    this.#pending = true;
    this.#wake?.();
  }

  /** Resolves when {@linkcode wake} is called or after `ms` milliseconds. */
  async wait(ms: number): Promise<void> {
    if (!this.#pending) {
      const controller = new AbortController();
      const woken = new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
      const timer = this.#clock.sleep(ms, controller.signal).catch(() => {});
      await Promise.race([woken, timer]);
      this.#wake = undefined;
      controller.abort();
    }
    this.#pending = false;
  }
}
