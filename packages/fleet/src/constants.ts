/** Named constants of the fleet.
 *
 * @module
 */

/** Slots that share one workspace's rate and burst. */
export const SHARES_PER_WORKSPACE = 3;

/** Longest wait of one long poll, in milliseconds. */
export const WATCH_WAIT_MS = 30_000;

/** Wait after a change before the next long poll, so that a burst of changes
 * costs one transfer, in milliseconds. */
export const MIN_COALESCE_MS = 1_000;

/** Slots that take as many bytes in the fleet object as one member. */
export const SLOTS_PER_MEMBER_SIZE = 12;

/** Further wait after a change for each pair of members, in milliseconds: the
 * object's size times its readers, against the links' capacity. */
export const COALESCE_MS_PER_MEMBER_SQUARED = 0.03;

/** Wait after a long poll that failed, in milliseconds. */
export const WATCH_RETRY_MS = 1_000;

/** Longest time of a read or write, in milliseconds. */
export const STORE_CALL_TIMEOUT_MS = 2_000;

/** Attempts of one change against racing writers. */
export const CHANGE_ATTEMPTS = 30;

/** Attempts without a wait; later ones wait for a random time. */
export const IMMEDIATE_ATTEMPTS = 2;

/** Longest random wait between attempts, in milliseconds. */
export const MAX_CONFLICT_JITTER_MS = 200;

/** Slots that one round of planned moves hands over at most. */
export const MAX_MOVES_PER_ROUND = 64;
