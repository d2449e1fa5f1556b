/** Defaults and limits of the stand-ins.
 *
 * @module
 */

/** Address that the stand-ins listen on. */
export const DEFAULT_HOST = "127.0.0.1";

/** Time after which a stand-in's server closes an idle connection. */
export const KEEP_ALIVE_TIMEOUT_MS = 600_000;

/** Largest request body that a stand-in reads. */
export const MAX_BODY_BYTES = 8_388_608;

/** Largest value of a stored object, as JSON text. */
export const MAX_VALUE_BYTES = 1_048_576;

/** Longest path parameter, such as an object's name. */
export const MAX_PARAM_CHARS = 1_000;

/** Longest time that a watch waits for a write. */
export const MAX_WATCH_MS = 60_000;

/** Reads per second that the object API allows. */
export const STORE_READS_PER_S = 2_000;

/** Writes per second that the object API allows. */
export const STORE_WRITES_PER_S = 400;

/** Age of the rows that the instance list returns. */
export const LIST_LAG_MS = 2_000;

/** Characters that count as one prompt token. */
export const CHARS_PER_TOKEN = 4;

/** Prompt tokens per block of the prefix cache. */
export const CACHE_BLOCK_TOKENS = 32;

/** Most recent cache events kept for clients that poll late. */
export const MAX_CACHE_EVENTS = 10_000;

/** Bytes queued in one direction of a connection before its source socket is
 * paused. */
export const MAX_QUEUE_BYTES = 1_048_576;

/** Time to wait for the ready line of a started process. */
export const READY_TIMEOUT_MS = 20_000;

/** Time that a process has to exit after SIGTERM. */
export const STOP_TIMEOUT_MS = 10_000;

/** Log lines kept for each started process. */
export const MAX_LOG_LINES = 10_000;
