/** Limits and default timeouts of the clients.
 *
 * @module
 */

/** Longest time to open a connection. */
export const CONNECT_TIMEOUT_MS = 2_000;

/** Longest time of a call that sets no timeout of its own. */
export const REQUEST_TIMEOUT_MS = 5_000;

/** Time that a watch's answer may take beyond the wait that it asked for. */
export const WATCH_GRACE_MS = 2_000;

/** Time after which an idle connection is closed. */
export const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** Largest value of an object, as JSON. */
export const MAX_VALUE_BYTES = 1_048_576;

/** Largest answer that a client reads. */
export const MAX_RESPONSE_BYTES = 67_108_864;

/** Wait after a 429 whose `Retry-After` is missing or unreadable. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;
