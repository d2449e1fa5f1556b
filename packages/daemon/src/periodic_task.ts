/** A task that runs periodically until it is closed.
 *
 * @module
 */
import type { Clock } from "@banyanlb/core";

/** Options of a periodic task. */
export interface PeriodicTaskOptions {
  readonly clock: Clock;
  /** Returns the pause after a run, in milliseconds. */
  readonly pause: () => number;
  /** Performs one run. Must not throw or reject. */
  readonly run: () => void | Promise<void>;
}

/** Runs a function, pauses, and repeats. Runs never overlap.
 *
 * @example
 * ```ts
 * const task = new PeriodicTask({ clock, pause: () => 1_000, run: check });
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

  /** Stops the task: ends the current pause, or waits for the current run. */
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
