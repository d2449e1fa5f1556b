/** Measures the load of this instance.
 *
 * @module
 */
import { type EventLoopUtilization, performance } from "node:perf_hooks";

/** Length of a measurement window, in milliseconds: several times the interval
 * of the digests that report the load. */
const WINDOW_MS = 2000;

/** Number of requests in a window from which callers count as using this
 * instance. The platform's own probes, about one a second, stay below it. */
const SERVING_MIN_REQUESTS = 5;

/** Request count and busy time of the latest window. */
export class OwnLoad {
  #windowStartedAt = performance.now();
  #requests = 0;
  #loopAtWindowStart: EventLoopUtilization = performance.eventLoopUtilization();
  #serves = false;
  #busy = 0;

  /** Whether callers send requests to this instance. */
  get serves(): boolean {
    return this.#serves;
  }

  /** Fraction of the last window for which the process was busy, in [0, 1]. */
  get busy(): number {
    return this.#busy;
  }

  /** Counts a request that has arrived. */
  countRequest(now: number): void {
    this.#requests += 1;
    if (this.#requests >= SERVING_MIN_REQUESTS) this.#serves = true;
    this.tick(now);
  }

  /** Starts a new window if the current one is over. */
  tick(now: number): void {
    if (now - this.#windowStartedAt < WINDOW_MS) return;
    const loopNow = performance.eventLoopUtilization();
    this.#busy =
      performance.eventLoopUtilization(loopNow, this.#loopAtWindowStart)
        .utilization;
    this.#loopAtWindowStart = loopNow;
    this.#serves = this.#requests >= SERVING_MIN_REQUESTS;
    this.#requests = 0;
    this.#windowStartedAt = now;
  }
}
