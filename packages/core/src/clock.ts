/** The monotonic clock by which leases and deadlines are measured.
 *
 * @module
 */

/** A monotonic clock. Readings of different instances cannot be compared. */
export abstract class Clock {
  /** Milliseconds since an arbitrary start. Never decreases. */
  abstract now(): number;

  /** Resolves after `ms` milliseconds. Rejects with the signal's reason if
   * `signal` is aborted first. */
  abstract sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The monotonic clock of this process.
 *
 * @example
 * ```ts
 * const clock = new SystemClock();
 * const start = clock.now();
 * await clock.sleep(5);
 * clock.now() - start >= 4; // true
 * ```
 */
export class SystemClock extends Clock {
  override now(): number {
    return performance.now();
  }

  override sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(signal.reason);
        return;
      }
      const onAbort = () => {
        clearTimeout(timer);
        reject(signal?.reason);
      };
      const timer = setTimeout(() => {
        signal?.removeEventListener("abort", onAbort);
        resolve();
      }, ms);
      signal?.addEventListener("abort", onAbort, { once: true });
    });
  }
}

interface Sleeper {
  readonly at: number;
  readonly wake: () => void;
}

/** A clock that only moves when a test calls `advance`.
 *
 * @example
 * ```ts
 * const clock = new ManualClock();
 * clock.advance(250);
 * clock.now(); // 250
 * ```
 */
export class ManualClock extends Clock {
  #now = 0;
  #sleepers: readonly Sleeper[] = [];

  override now(): number {
    return this.#now;
  }

  override sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(signal.reason);
        return;
      }
      const onAbort = () => {
        this.#sleepers = this.#sleepers.filter((s) => s !== sleeper);
        reject(signal?.reason);
      };
      const wake = () => {
        signal?.removeEventListener("abort", onAbort);
        resolve();
      };
      const sleeper = { at: this.#now + ms, wake };
      this.#sleepers = [...this.#sleepers, sleeper];
      signal?.addEventListener("abort", onAbort, { once: true });
    });
  }

  /** Moves the clock forward by `ms` and resolves the sleeps that are over. */
  advance(ms: number): void {
    this.#now += ms;
    const due = this.#sleepers.filter((s) => s.at <= this.#now);
    this.#sleepers = this.#sleepers.filter((s) => s.at > this.#now);
    for (const sleeper of due) sleeper.wake();
  }
}
