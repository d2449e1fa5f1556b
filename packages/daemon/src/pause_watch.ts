/** Notices that the process was paused, e.g. stopped or starved.
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

/** Estimates when a request arrived that may have waited unread.
 *
 * A request that reaches a paused process waits in its socket and is read only
 * afterwards. Its time counts from when the pause began, which is the earliest
 * time at which it can have come without being read.
 *
 * @example
 * ```ts
 * const pauses = new PauseWatch(clock);
 * pauses.start();
 * const deadline_at = pauses.arrivalOf(clock.now()) + timeout_ms;
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

  /** Starts to watch. */
  start(): void {
    this.#checked_at = this.#clock.now();
    this.#task.start();
  }

  /** Earliest time at which a request that is read at `now` can have come. */
  earliestArrivalAt(now: number): number {
    // The request may be read before the tick that notices the pause.
    this.#checkForPause();
    const is_backlog = now <= this.#paused_until + PAUSE_BACKLOG_WINDOW_MS;
    return is_backlog ? Math.min(now, this.#paused_from) : now;
  }

  /** Stops to watch. */
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
