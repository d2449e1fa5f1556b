/** The time in which a process that was told to stop serves what it has begun.
 *
 * @module
 */
import {
  DRAIN_STREAMS_MS,
  isAcceptedWhileDraining,
  type Route,
} from "@banyanlb/serving";
import { byDeadline } from "../by_deadline.ts";

/** Minimum time that a process drains before it ends, in milliseconds: callers
 * that have cached its address still connect. */
const DRAIN_MIN_MS = 3000;

/** A draining process ends once no request has been active for this long, in
 * milliseconds. */
const DRAIN_IDLE_MS = 400;

/** A draining process ends this long before the platform would kill it, in
 * milliseconds. */
const KILL_MARGIN_MS = 250;

/** How long a process that is idle waits for its last report to be stored, in
 * milliseconds. */
const LAST_REPORT_WAIT_MS = 400;

/** Time between looks at what is active, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** The requests of a process. */
export interface ActiveRequests {
  /** The number of requests that are being served. */
  readonly active: number;
  /** Time since the last one ended, in milliseconds. */
  readonly idleMs: number;
}

/** One drain, from the order to stop to the end of the process. */
export class Drain {
  readonly #graceMs: number;
  #startedAt = Infinity;

  /** `graceMs` is the time from the order to stop until the platform kills the
   * process. */
  constructor(graceMs: number) {
    this.#graceMs = graceMs;
  }

  /** Whether the process was told to stop. */
  get isStarted(): boolean {
    return this.#startedAt < Infinity;
  }

  /** Time since the order to stop, in milliseconds. */
  get elapsedMs(): number {
    return performance.now() - this.#startedAt;
  }

  get #lengthMs(): number {
    return this.#graceMs - KILL_MARGIN_MS;
  }

  /** Whether a request on this route can end before the process does. */
  hasTimeFor(route: Route): boolean {
    return !this.isStarted || isAcceptedWhileDraining(route, {
      elapsedMs: this.elapsedMs,
      endsAfterMs: this.#lengthMs,
    });
  }

  /** Drains; resolves when the process may end. `report` stores the last report
   * of streams, once no more are accepted: it is tried for as long as the process
   * serves. */
  async run(
    requests: () => ActiveRequests,
    report: () => Promise<void>,
  ): Promise<void> {
    this.#startedAt = performance.now();
    const acceptsStreamsMs = Math.min(
      DRAIN_STREAMS_MS,
      this.#lengthMs - LAST_REPORT_WAIT_MS,
    );
    const reported = pause(acceptsStreamsMs).then(report);
    await this.#becomeIdle(requests);
    const leftMs = Math.min(
      LAST_REPORT_WAIT_MS,
      this.#lengthMs - this.elapsedMs,
    );
    await byDeadline(reported, performance.now() + leftMs);
  }

  async #becomeIdle(requests: () => ActiveRequests): Promise<void> {
    while (this.elapsedMs < this.#lengthMs) {
      const { active, idleMs } = requests();
      const isIdle = active === 0 && idleMs > DRAIN_IDLE_MS;
      if (isIdle && this.elapsedMs > DRAIN_MIN_MS) return;
      await pause(CHECK_INTERVAL_MS);
    }
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
