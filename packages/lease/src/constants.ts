/** Named constants of the lease.
 *
 * @module
 */

/** Renewals, reads and asks per term. */
export const ROUNDS_PER_TERM = 3;

/** Longest relative difference of two monotonic clocks' rates. */
export const CLOCK_DRIFT_RATIO = 0.02;

/** Smallest drift margin, in milliseconds. */
export const MIN_DRIFT_MARGIN_MS = 50;

/** Share of a term that the store must have answered again after an outage
 * before a session may be ended, so that live holders renew first. */
export const RECOVERY_GRACE_RATIO = 2 / 3;

/** Share of a term that a store call may take. */
export const STORE_CALL_TIMEOUT_RATIO = 1 / 6;

/** Default time between two visits of members' sessions in turn, in
 * milliseconds. */
export const VISIT_INTERVAL_MS = 10_000;

/** Reads of an unchanged session per last term. */
export const READS_PER_LAST_TERM = 4;

/** Successors of a session. */
export const SUCCESSORS_PER_SESSION = 2;

/** Sessions that one member succeeds while others can. */
export const MAX_SESSIONS_PER_SUCCESSOR = 4;

/** Attempts to write the graceful end of a session. */
export const END_ATTEMPTS = 3;
