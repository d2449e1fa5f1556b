/** Constants of session leases.
 *
 * @module
 */

/** Rounds per term of renewals, of reads by successors and of promise
 * requests. */
export const ROUNDS_PER_TERM = 3;

/** Largest relative difference between the rates of two monotonic clocks. */
export const CLOCK_DRIFT_RATIO = 0.02;

/** Smallest drift margin, in milliseconds. */
export const MIN_DRIFT_MARGIN_MS = 50;

/** Fraction of a term for which the store must have been available again after
 * an outage before a session may be ended, so that live holders renew first. */
export const RECOVERY_GRACE_RATIO = 2 / 3;

/** Timeout of a store call, as a fraction of a term. */
export const STORE_CALL_TIMEOUT_RATIO = 1 / 6;

/** Default time between two visits, in milliseconds. A visit checks the session
 * of one member; members are visited round-robin. */
export const VISIT_INTERVAL_MS = 10_000;

/** Reads per last term of an unchanged session that is only visited. */
export const READS_PER_LAST_TERM = 4;

/** Number of successors of a session. */
export const SUCCESSORS_PER_SESSION = 2;

/** Preferred limit of sessions per successor. A member that has reached it has
 * a lower preference. */
export const MAX_SESSIONS_PER_SUCCESSOR = 4;

/** Attempts of a holder to write the end of its own session. */
export const END_ATTEMPTS = 3;
