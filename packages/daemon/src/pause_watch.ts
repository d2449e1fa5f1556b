/** Detects pauses of the process, e.g. by SIGSTOP or CPU starvation.
 *
 * @module
 */
import type { Clock } from "@banyanlb/core";
import {
  PAUSE_BACKLOG_WINDOW_MS,
  PAUSE_CHECK_INTERVAL_MS,
  PAUSE_GAP_MIN_MS,
} from "./constants.ts";
import { PeriodicTask } from "./periodic_task.ts";

/** Estimates the arrival time of a request that may have waited in its socket
 * during a pause.
 *
 * A request that arrives while the process is paused is read only after the
 * pause. Its deadline is computed from the start of the pause, which is the
 * earliest time at which an unread request can have arrived.
 *
 * @example
 * ```ts
 * const pause_watch = new PauseWatch(clock);
 * pause_watch.start();
 * const deadline_at = pause_watch.earliestArrivalAt(clock.now()) + timeout_ms;
 * ```
 */
export class PauseWatch {
  readonly #clock: Clock;
  readonly #task: PeriodicTask;
  #checked_at: number;
  #paused_from = -Infinity;
  #paused_until = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#checked_at = clock.now();
    this.#task = new PeriodicTask({
      clock,
      pause: () => PAUSE_CHECK_INTERVAL_MS,
      run: () => this.#checkForPause(),
    });
  }

  /** Starts the periodic check. */
  start(): void {
    this.#checked_at = this.#clock.now();
    this.#task.start();
  }

  /** Returns the earliest time at which a request that is read at `now` can
   * have arrived. */
  earliestArrivalAt(now: number): number {
    // The request may be read before the periodic check detects the pause.
    this.#checkForPause();
    const is_backlog = now <= this.#paused_until + PAUSE_BACKLOG_WINDOW_MS;
    return is_backlog ? Math.min(now, this.#paused_from) : now;
  }

  /** Stops the periodic check. */
  async close(): Promise<void> {
    await this.#task.close();
  }

  #checkForPause(): void {
    const now = this.#clock.now();
    if (now - this.#checked_at > PAUSE_GAP_MIN_MS) {
      this.#paused_from = this.#checked_at;
      this.#paused_until = now;
    }
    this.#checked_at = now;
  }
}
