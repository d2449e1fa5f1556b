/** Constants of the rate limiter.
 *
 * @module
 */

/** Longest time for which a reservation is valid: from the token request to
 * the arrival of the tokens at a target. */
export const RESERVATION_VALIDITY_MS = 250;

/** Largest fraction of a burst that may be withheld to allow for the validity
 * period of reservations. */
export const VALIDITY_BURST_FRACTION = 0.25;

/** Fraction of the validity period that is left for the network path to the
 * target. */
export const NETWORK_DELAY_FRACTION = 0.2;

/** A reservation that is not settled within this time counts as fully used. */
export const RESERVATION_TIMEOUT_MS = 900_000;

/** Timeout of a {@linkcode RatePeers} call. */
export const PEER_TIMEOUT_MS = 100;

/** Interval at which queued settlements are sent to a holder as one batch. */
export const SETTLE_INTERVAL_MS = 50;

/** Failed deliveries after which a settlement is dropped and its unused tokens
 * are lost. */
export const MAX_SETTLE_ATTEMPTS = 5;

/** Maximum number of settlements queued for one holder. */
export const MAX_QUEUED_SETTLEMENTS = 10_000;

/** Age up to which the level that a holder reported is used for refusals. */
export const ESTIMATE_MAX_AGE_MS = 1_000;

/** Maximum time between two replies from which the net refill rate is
 * estimated, i.e. the refill less the tokens that other instances take. */
export const NET_RATE_MAX_GAP_MS = 2_000;

/** Time for which a holder that did not reply is skipped. */
export const UNREACHABLE_TTL_MS = 1_000;

/** Shortest `retry_after_ms` of a refusal. */
export const RETRY_AFTER_MIN_MS = 1;

/** Milliseconds in a second. */
export const MS_PER_S = 1_000;

/** Differences of token counts below this are rounding. */
export const TOKEN_EPSILON = 1e-6;

/** Levels and limits in replies are rounded up to multiples of this step. It is
 * a power of two, so that its multiples are short in decimal. */
export const REPLY_STEP_TOKENS = 1 / 16;
