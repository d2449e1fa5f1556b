/** Work that is done again and again until it is closed.
 *
 * @module
 */
import type { Clock } from "@banyanlb/core";

/** What is done, and how often. */
export interface PeriodicTaskOptions {
  readonly clock: Clock;
  /** Pause after each run, in milliseconds. */
  readonly pause: () => number;
  /** Must not reject. */
  readonly run: () => void | Promise<void>;
}

/** One task: runs, pauses, runs again.
 *
 * @example
 * ```ts
 * const task = new PeriodicTask({ clock, pause: () => 1_000, run: look });
 * task.start();
 * await task.close();
 * ```
 */
export class PeriodicTask {
  readonly #options: PeriodicTaskOptions;
  readonly #stop_controller = new AbortController();
  #task: Promise<void> | undefined;

  constructor(options: PeriodicTaskOptions) {
    this.#options = options;
  }

  /** Starts the task. A second call has no effect. */
  start(): void {
    this.#task ??= this.#run();
  }

  /** Ends the pause or waits for the run under way. */
  async close(): Promise<void> {
    this.#stop_controller.abort(new Error("closed"));
    await this.#task;
  }

  async #run(): Promise<void> {
    const { clock, pause, run } = this.#options;
    const { signal } = this.#stop_controller;
    while (!signal.aborted) {
      await run();
      await clock.sleep(pause(), signal).catch(() => {});
    }
  }
}
