/** Named constants with their units.
 *
 * @module
 */

/** Longest time from the ask for tokens to their arrival at a target. */
export const RESERVATION_VALIDITY_MS = 250;

/** Largest part of a burst that may be set aside for the use time. */
export const VALIDITY_BURST_FRACTION = 0.25;

/** Part of the use time that is kept for the way to the target. */
export const NETWORK_DELAY_FRACTION = 0.2;

/** A reservation that is not settled after this time counts as used whole. */
export const RESERVATION_TIMEOUT_MS = 900_000;

/** Longest time that a {@linkcode RatePeers} call may take. */
export const PEER_TIMEOUT_MS = 100;

/** Settlements wait this long for others of the same holder. */
export const SETTLE_INTERVAL_MS = 50;

/** Attempts to deliver a settlement before its tokens are given up. */
export const MAX_SETTLE_ATTEMPTS = 5;

/** Settlements kept for one holder at most. */
export const MAX_QUEUED_SETTLEMENTS = 10_000;

/** A holder's reported level is relied on for refusals this long. */
export const ESTIMATE_MAX_AGE_MS = 1_000;

/** Replies further apart say nothing about what other instances take. */
export const NET_RATE_MAX_GAP_MS = 2_000;

/** A holder that did not answer is left out this long. */
export const UNREACHABLE_TTL_MS = 1_000;

/** Shortest `retry_after_ms` of a refusal. */
export const RETRY_AFTER_MIN_MS = 1;

/** Milliseconds in a second. */
export const MS_PER_S = 1_000;

/** Differences of token counts below this are rounding. */
export const TOKEN_EPSILON = 1e-6;

/** Step of the levels in replies. A power of two, short in decimal. */
export const REPLY_STEP_TOKENS = 1 / 16;
