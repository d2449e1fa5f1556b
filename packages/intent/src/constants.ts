/** Named constants with their units.
 *
 * @module
 */

/** How long a record is kept at least. */
export const RETENTION_MS = 24 * 60 * 60 * 1_000;

/** Allowance for wrong wall clocks, added to the retention. */
export const WALL_CLOCK_MARGIN_MS = 60 * 60 * 1_000;

/** Longest time of one call to the store. */
export const STORE_TIMEOUT_MS = 1_000;

/** Store calls of one `take` at most. */
export const TAKE_WRITES_MAX = 8;

/** Wait before a call to the store is repeated. */
export const RETRY_DELAY_MS = 50;

/** Longest wait before a background write is repeated. */
export const RETRY_DELAY_MAX_MS = 5_000;

/** Attempts of one background write. */
export const RECORD_ATTEMPTS = 12;

/** Background writes under way at once. */
export const RECORD_CONCURRENCY = 8;

/** Background writes that wait at most. */
export const RECORD_QUEUE_MAX = 4_096;

/** Bytes of response bodies that wait at most. */
export const RECORD_QUEUE_MAX_BYTES = 16 * 1_024 * 1_024;

/** Longest body that is recorded. */
export const RECORDED_BODY_MAX_BYTES = 64 * 1_024;

/** Attempts known as never sent that are remembered. */
export const UNSENT_ATTEMPTS_MAX = 10_000;

/** Records that one sweep reads at most. */
export const SWEEP_READS_MAX = 200;

/** Records of refused attempts that are freed at once. */
export const RELEASE_CONCURRENCY_MAX = 256;
