/** Retention, time limits and queue limits of intent records.
 *
 * @module
 */

/** Minimum time for which a record is kept. */
export const RETENTION_MS = 24 * 60 * 60 * 1_000;

/** Added to the retention, because instances' wall clocks may disagree. */
export const WALL_CLOCK_MARGIN_MS = 60 * 60 * 1_000;

/** Time limit of one call to the store. */
export const STORE_TIMEOUT_MS = 1_000;

/** Maximum number of writes in one `take`. Each failed write may be followed by
 * one read. */
export const TAKE_WRITES_MAX = 8;

/** Delay before `take` retries, and first back-off of a background write. */
export const RETRY_DELAY_MS = 50;

/** Maximum back-off of a background write. */
export const RETRY_DELAY_MAX_MS = 5_000;

/** Maximum number of attempts of one background write or release. */
export const RECORD_ATTEMPTS = 12;

/** Maximum number of concurrent background writes. */
export const RECORD_CONCURRENCY = 8;

/** Maximum number of queued background writes. */
export const RECORD_QUEUE_MAX = 4_096;

/** Maximum total size of base64 response bodies in queued or running background
 * writes. */
export const RECORD_QUEUE_MAX_BYTES = 16 * 1_024 * 1_024;

/** Maximum size of a response body that is recorded. */
export const RECORDED_BODY_MAX_BYTES = 64 * 1_024;

/** Maximum number of remembered attempts that were never sent. */
export const UNSENT_ATTEMPTS_MAX = 10_000;

/** Maximum number of records that one sweep reads. */
export const SWEEP_READS_MAX = 200;

/** Maximum number of concurrent releases of refused attempts' records. */
export const RELEASE_CONCURRENCY_MAX = 256;
