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

/** How long a failed read shows that the store does not reply, in
 * milliseconds. */
const FAILURE_VALID_MS = 5000;

/** Shares of the time within which a change must be known, after which an
 * instance acts. The rest of that time is for the check that was just missed, a
 * read that times out on a dead connection, and the read after it. */
const LEAD_READ_SHARE = 0.28;
const RELAYED_LEAD_READ_SHARE = 0.2;
const RELAY_ASK_SHARE = 0.26;
const ASK_SHARE = 0.36;
const READ_SHARE = 0.48;
const BACKUP_READ_SHARE = 0.48;
const LAST_READ_SHARE = 0.72;

/** What an instance does to confirm its records. */
export type ConfirmationRole =
  /** It reads lists, and the others ask it. */
  | "lead"
  /** As a lead, but instances of other regions ask it on behalf of theirs:
   * these hear of its records later. */
  | "relayed_lead"
  /** It asks a lead in another region on behalf of its own region. */
  | "relay"
  /** As a relay, beside another that reads a list first. */
  | "second_relay"
  /** As a member, but it reads a list before the last instances do. */
  | "backup"
  /** It asks an instance nearby. */
  | "member"
  /** As a member, but instances of its region can do what it would do: it reads a
   * list only after they had time to. */
  | "last";

/** Ages of the last confirmation at which an instance acts, in milliseconds. */
export interface ConfirmationTimes {
  /** The lead reads a list. */
  readonly leadMs: number;
  /** The lead reads a list if there are relays. */
  readonly relayedLeadMs: number;
  /** A relay asks the lead. */
  readonly relayAskMs: number;
  /** Any other instance asks a peer. */
  readonly askMs: number;
  /** Any other instance reads a list itself. */
  readonly readMs: number;
  /** Backups read a list themselves. */
  readonly backupReadMs: number;
  /** The last instances read a list themselves. */
  readonly lastReadMs: number;
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
    relayedLeadMs: boundMs * RELAYED_LEAD_READ_SHARE,
    relayAskMs: boundMs * RELAY_ASK_SHARE,
    askMs: boundMs * ASK_SHARE,
    readMs: boundMs * READ_SHARE,
    backupReadMs: boundMs * BACKUP_READ_SHARE,
    lastReadMs: boundMs * LAST_READ_SHARE,
  };
}

/** When the records of one kind were last confirmed. */
export class Confirmation {
  readonly #times: ConfirmationTimes;
  #confirmedAt = -Infinity;
  #retryAt = -Infinity;
  #failureCount = 0;
  #failedAt = -Infinity;

  constructor(times: ConfirmationTimes) {
    this.#times = times;
  }

  /** Whether the last read failed recently. An instance that others confirm may
   * read no more, and then knows nothing of the store. */
  isFailing(now: number): boolean {
    return this.#failureCount > 0 && now - this.#failedAt < FAILURE_VALID_MS;
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
    this.#failedAt = now;
    this.#retryAt = now + pauseMs * (0.75 + jitter / 2);
  }

  /** What to do at `now`.
   *
   * @example
   * ```ts
   * if (confirmation.nextStep(performance.now(), "lead") === "read") read();
   * ```
   */
  nextStep(now: number, role: ConfirmationRole): ConfirmationStep {
    const { readMs, askMs } = this.#timesOf(role);
    const ageMs = this.ageMs(now);
    if (ageMs >= readMs && now >= this.#retryAt) return "read";
    return ageMs >= askMs ? "ask" : "none";
  }

  #timesOf(
    role: ConfirmationRole,
  ): { readonly askMs: number; readonly readMs: number } {
    const { readMs, backupReadMs, lastReadMs, ...times } = this.#times;
    switch (role) {
      case "lead":
        return { askMs: Infinity, readMs: times.leadMs };
      case "relayed_lead":
        return { askMs: Infinity, readMs: times.relayedLeadMs };
      case "relay":
        return { askMs: times.relayAskMs, readMs };
      case "second_relay":
        return { askMs: times.relayAskMs, readMs: backupReadMs };
      case "backup":
        return { askMs: times.askMs, readMs: backupReadMs };
      case "member":
        return { askMs: times.askMs, readMs };
      case "last":
        return { askMs: times.askMs, readMs: lastReadMs };
    }
  }
}
