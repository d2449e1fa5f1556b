/** Decides when an instance must confirm that its records are the newest.
 *
 * A watch that waits shows nothing: it may never hear of a change. Records are
 * confirmed by a complete list of the store, as of the moment at which the list
 * was requested, or by a peer that holds the same records, as of the moment at
 * which its own were confirmed. One instance of a group, the lead, reads lists
 * regularly. The others ask it, and read a list themselves if no answer
 * confirms their records in time.
 *
 * @module
 */

/** Pause after a failed read, in milliseconds. It doubles with each failure up
 * to the maximum. */
const RETRY_PAUSE_MS = 200;
const RETRY_PAUSE_MAX_MS = 1600;

/** Shares of the time within which a change must be known, after which an
 * instance acts. The rest of that time is for the check that was just missed, a
 * read that times out on a dead connection, and the read after it. */
const LEAD_READ_SHARE = 0.28;
const ASK_SHARE = 0.36;
const READ_SHARE = 0.48;

/** Ages of the last confirmation at which an instance acts, in milliseconds. */
export interface ConfirmationTimes {
  /** The lead reads a list. */
  readonly leadMs: number;
  /** Any other instance asks a peer. */
  readonly askMs: number;
  /** Any other instance reads a list itself. */
  readonly readMs: number;
}

/** What to do next. */
export type ConfirmationStep = "none" | "ask" | "read";

/** The times with which a change is known everywhere within `boundMs`.
 *
 * @example
 * ```ts
 * confirmationTimes(2500).readMs; // 1200
 * ```
 */
export function confirmationTimes(boundMs: number): ConfirmationTimes {
  return {
    leadMs: boundMs * LEAD_READ_SHARE,
    askMs: boundMs * ASK_SHARE,
    readMs: boundMs * READ_SHARE,
  };
}

/** When the records of one kind were last confirmed. */
export class Confirmation {
  readonly #times: ConfirmationTimes;
  #confirmedAt = -Infinity;
  #retryAt = -Infinity;
  #failureCount = 0;

  constructor(times: ConfirmationTimes) {
    this.#times = times;
  }

  /** Whether the last read failed. */
  get isFailing(): boolean {
    return this.#failureCount > 0;
  }

  /** Time since the records were last known to be the newest, in
   * milliseconds. */
  ageMs(now: number): number {
    return now - this.#confirmedAt;
  }

  /** Records that the records were the newest at `at`. */
  record(at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at);
  }

  /** Records that a read succeeded, or that the store was reached otherwise. */
  recordContact(): void {
    this.#failureCount = 0;
    this.#retryAt = -Infinity;
  }

  /** Records that a read failed. `jitter` is a random number in [0, 1). */
  recordFailure(now: number, jitter: number): void {
    const pauseMs = Math.min(
      RETRY_PAUSE_MAX_MS,
      RETRY_PAUSE_MS * 2 ** this.#failureCount,
    );
    this.#failureCount += 1;
    this.#retryAt = now + pauseMs * (0.75 + jitter / 2);
  }

  /** What to do at `now`.
   *
   * @example
   * ```ts
   * if (confirmation.nextStep(performance.now(), isLead) === "read") read();
   * ```
   */
  nextStep(now: number, isLead: boolean): ConfirmationStep {
    const { leadMs, askMs, readMs } = this.#times;
    const ageMs = this.ageMs(now);
    if (ageMs >= (isLead ? leadMs : readMs) && now >= this.#retryAt) {
      return "read";
    }
    return !isLead && ageMs >= askMs ? "ask" : "none";
  }
}
