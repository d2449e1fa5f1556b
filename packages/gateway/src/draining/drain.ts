/** The time in which a process that was told to stop serves what it has begun.
 *
 * It is a sequence: the process serves until it is idle, takes no more requests
 * from then on, answers what it has read, and ends once its last report is stored.
 *
 * @module
 */
import {
  DRAIN_STREAMS_MS,
  isAcceptedWhileDraining,
  type Route,
} from "@banyanlb/serving";

/** Minimum time that a process drains before it ends, in milliseconds: callers
 * that have cached its address still connect. */
const DRAIN_MIN_MS = 3000;

/** A draining process ends once no request has been active for this long, in
 * milliseconds. */
const DRAIN_IDLE_MS = 400;

/** A draining process ends this long before the platform would kill it, in
 * milliseconds. */
const KILL_MARGIN_MS = 250;

/** How long a process that takes no more requests waits for its last report to be
 * stored, and for requests that are still being read, in milliseconds. */
const LAST_WAIT_MS = 400;

/** Time between looks at what is active, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** The requests of a process. */
export interface ActiveRequests {
  /** The number of requests that are being served. */
  readonly active: number;
  /** Time since the last one ended, in milliseconds. */
  readonly idleMs: number;
  /** The number of connections on which a request is being served, or has been
   * read in part. */
  readonly connections: number;
}

/** What a process does while it drains. */
export interface DrainSteps {
  readonly requests: () => ActiveRequests;
  /** Takes no more connections, and closes those without a request. Requests that
   * were read in part are refused by `hasTimeFor`. */
  readonly closeIntake: () => void;
  /** Stores the last report of streams. Called once no more are accepted, and
   * tried for as long as the process runs; does not reject. */
  readonly report: () => Promise<void>;
}

/** One drain, from the order to stop to the end of the process. */
export class Drain {
  readonly #graceMs: number;
  #startedAt = Infinity;
  #isIntakeClosed = false;

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
    if (!this.isStarted) return true;
    return !this.#isIntakeClosed && isAcceptedWhileDraining(route, {
      elapsedMs: this.elapsedMs,
      endsAfterMs: this.#lengthMs,
    });
  }

  /** Drains; resolves when the process may end. */
  async run(steps: DrainSteps): Promise<void> {
    this.#startedAt = performance.now();
    const servesMs = this.#lengthMs - LAST_WAIT_MS;
    let isReported = false;
    void pause(Math.min(DRAIN_STREAMS_MS, servesMs))
      .then(steps.report)
      .then(() => (isReported = true));
    await this.#until(servesMs, () => {
      const { active, idleMs } = steps.requests();
      const isIdle = active === 0 && idleMs > DRAIN_IDLE_MS;
      return isIdle && this.elapsedMs > DRAIN_MIN_MS;
    });
    // In the turn of the last look: what came later would be closed unanswered.
    this.#isIntakeClosed = true;
    steps.closeIntake();
    const waitsMs = this.elapsedMs + LAST_WAIT_MS;
    await this.#until(this.#lengthMs, () => {
      const { active, connections } = steps.requests();
      const isDone = isReported && connections === 0;
      return active === 0 && (isDone || this.elapsedMs >= waitsMs);
    });
  }

  /** Resolves when `isReached`, or at `maxMs` of the drain. */
  async #until(maxMs: number, isReached: () => boolean): Promise<void> {
    while (this.elapsedMs < maxMs && !isReached()) {
      await pause(Math.min(CHECK_INTERVAL_MS, maxMs - this.elapsedMs));
    }
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
