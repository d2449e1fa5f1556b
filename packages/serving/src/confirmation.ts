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
const RELAYED_LEAD_READ_SHARE = 0.2;
const RELAY_ASK_SHARE = 0.26;
const ASK_SHARE = 0.36;
const READ_SHARE = 0.48;
const READ_BESIDE_LEAD_SHARE = 0.72;

/** How long a reply of a lead shows that it is there, in milliseconds: three
 * checks. */
const LEAD_REPLY_VALID_MS = 600;

/** What an instance does to confirm its records. */
export type ConfirmationRole =
  /** It reads lists, and the others ask it. */
  | "lead"
  /** As a lead, but instances of other regions ask it on behalf of theirs:
   * these hear of its records later. */
  | "relayed_lead"
  /** It asks a lead in another region on behalf of its own region. */
  | "relay"
  /** It asks an instance nearby. */
  | "member";

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
  /** Any other instance reads a list itself, since no lead replies. */
  readonly readMs: number;
  /** Any other instance reads a list itself although a lead replies: the lead
   * does not know either that its records are the newest. */
  readonly readBesideLeadMs: number;
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
    readBesideLeadMs: boundMs * READ_BESIDE_LEAD_SHARE,
  };
}

/** When the records of one kind were last confirmed. */
export class Confirmation {
  readonly #times: ConfirmationTimes;
  #confirmedAt = -Infinity;
  #retryAt = -Infinity;
  #failureCount = 0;
  #leadRepliedAt = -Infinity;

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

  /** Records that a lead has replied at `now`, whatever it confirmed. */
  recordReplyOfLead(now: number): void {
    this.#leadRepliedAt = now;
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
   * if (confirmation.nextStep(performance.now(), "lead") === "read") read();
   * ```
   */
  nextStep(now: number, role: ConfirmationRole): ConfirmationStep {
    const { readMs, askMs } = this.#timesOf(role, now);
    const ageMs = this.ageMs(now);
    if (ageMs >= readMs && now >= this.#retryAt) return "read";
    return ageMs >= askMs ? "ask" : "none";
  }

  #timesOf(
    role: ConfirmationRole,
    now: number,
  ): { readonly askMs: number; readonly readMs: number } {
    const times = this.#times;
    const hasLead = now - this.#leadRepliedAt < LEAD_REPLY_VALID_MS;
    const readMs = hasLead ? times.readBesideLeadMs : times.readMs;
    switch (role) {
      case "lead":
        return { askMs: Infinity, readMs: times.leadMs };
      case "relayed_lead":
        return { askMs: Infinity, readMs: times.relayedLeadMs };
      case "relay":
        return { askMs: times.relayAskMs, readMs };
      case "member":
        return { askMs: times.askMs, readMs };
    }
  }
}
