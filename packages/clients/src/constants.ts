/** Limits and default timeouts of the clients.
 *
 * @module
 */

/** Timeout for opening a connection. */
export const CONNECT_TIMEOUT_MS = 2_000;

/** Timeout of a request that sets none itself. */
export const REQUEST_TIMEOUT_MS = 5_000;

/** Time that the response to a watch may take beyond the requested wait. */
export const WATCH_GRACE_MS = 2_000;

/** Time after which an idle connection is closed. */
export const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** Maximum size of an object's value, as JSON. */
export const MAX_VALUE_BYTES = 1_048_576;

/** Maximum size of a response body. */
export const MAX_RESPONSE_BYTES = 67_108_864;

/** Back-off after a 429 whose `Retry-After` is missing or invalid. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;
