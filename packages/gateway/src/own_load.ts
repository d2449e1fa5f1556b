/** How much this instance is used.
 *
 * @module
 */
import { type EventLoopUtilization, performance } from "node:perf_hooks";

/** Time over which the load is measured, in milliseconds: several times the
 * pause between digests, which tell it. */
const WINDOW_MS = 2000;

/** Requests within that time from which callers count as using this instance.
 * The platform's own probes come about once a second. */
const SERVING_MIN_REQUESTS = 5;

/** Requests and busy time of late. */
export class OwnLoad {
  #windowStartedAt = performance.now();
  #requests = 0;
  #loopAtWindowStart: EventLoopUtilization = performance.eventLoopUtilization();
  #serves = false;
  #busy = 0;

  /** Whether callers use this instance. */
  get serves(): boolean {
    return this.#serves;
  }

  /** Part of the time for which the process was busy, in [0, 1]. */
  get busy(): number {
    return this.#busy;
  }

  /** A request came. */
  countRequest(now: number): void {
    this.#requests += 1;
    if (this.#requests >= SERVING_MIN_REQUESTS) this.#serves = true;
    this.tick(now);
  }

  /** Ends a window when it is over. */
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
