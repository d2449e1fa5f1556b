/** Constants of the fleet.
 *
 * @module
 */

/** Number of slots that share the rate and burst of one workspace. */
export const SHARES_PER_WORKSPACE = 3;

/** Maximum duration of one long poll, in milliseconds. */
export const WATCH_WAIT_MS = 30_000;

/** Minimum delay between a change and the next long poll, in milliseconds, so
 * that a burst of changes needs one transfer only. */
export const MIN_COALESCE_MS = 1_000;

/** Number of slots that take as many bytes in the fleet object as one
 * member. */
export const SLOTS_PER_MEMBER_SIZE = 12;

/** Delay between a change and the next long poll, in milliseconds per member
 * and per unit of the object's size; the unit is the size of one member. Every
 * member reads the whole object, so the transferred bytes grow with its size
 * times the number of members, while the capacity of the links is limited. */
export const COALESCE_MS_PER_MEMBER_SQUARED = 0.03;

/** Minimum time between two long polls that are started because the view may be
 * out of date, in milliseconds. */
export const RECHECK_INTERVAL_MS = 1_000;

/** Delay after a failed long poll, in milliseconds. */
export const WATCH_RETRY_MS = 1_000;

/** Timeout of a read or write of the store, in milliseconds. */
export const STORE_CALL_TIMEOUT_MS = 2_000;

/** Maximum attempts of one change when other writers cause conflicts. */
export const CHANGE_ATTEMPTS = 30;

/** Attempts after the first that follow without a delay; later ones wait for a
 * random time. */
export const IMMEDIATE_ATTEMPTS = 2;

/** Maximum random delay between attempts, in milliseconds. */
export const MAX_CONFLICT_JITTER_MS = 200;

/** Maximum number of slots that one round of planned moves hands over. */
export const MAX_MOVES_PER_ROUND = 64;
