/** Limits, timeouts and intervals of this package.
 *
 * @module
 */

/** Timeout of one order to an engine, in milliseconds. */
export const ORDER_TIMEOUT_MS = 3_000;
/** Time after an order's timeout until the order can no longer take effect,
 * in milliseconds. */
export const ORDER_SETTLE_MS = 3_000;
/** Timeout of reading an engine's report, in milliseconds. */
export const REPORT_TIMEOUT_MS = 1_000;
/** Time between two readings of an engine's report while nothing on the engine
 * is in doubt, in milliseconds. */
export const REPORT_INTERVAL_MS = 10_000;
/** Shortest time between two readings of one engine's report, and between two
 * report requests to one member, in milliseconds. */
export const REPORT_RETRY_MS = 250;
/** Upper limit of a request's deadline, in milliseconds. */
export const MAX_DEADLINE_MS = 600_000;
/** Time after a grant within which the request must be sent, in
 * milliseconds. */
export const USE_WITHIN_MS = 2_000;
/** Largest assumed relative difference in speed of two monotonic clocks. */
export const MAX_CLOCK_DRIFT_RATIO = 0.01;
/** Time allowed for a request to reach its target and to be canceled there, in
 * milliseconds. */
export const TRANSIT_MARGIN_MS = 1_000;
/** Time after a load during which the adapter is not evicted, in
 * milliseconds. */
export const MIN_RESIDENCY_MS = 1_000;
/** Time that a permit request for a version that is not loaded waits before an
 * adapter in use is drained to free a slot, in milliseconds. */
export const DRAIN_WAIT_MS = { interactive: 1_500, batch: 10_000 } as const;
/** Half-life of the count of an adapter's grants, in milliseconds. */
export const GRANT_COUNT_HALF_LIFE_MS = 60_000;
/** Maximum number of loads in progress at one target. */
export const MAX_PARALLEL_LOADS = 2;
/** Longest wait of an idle task between two checks for work, in
 * milliseconds. */
export const MAX_IDLE_WAIT_MS = 60_000;
/** Time between checks of the lease while permit requests wait, in
 * milliseconds. */
export const LEASE_POLL_MS = 250;
/** Time between checks for an available adapter slot while permit requests
 * wait, in milliseconds. */
export const SLOT_POLL_MS = 50;
/** Failed loads of a version after which permit requests for it are refused
 * until the next attempt. */
export const MAX_LOAD_ATTEMPTS = 2;
/** Back-off after the first failed load, in milliseconds. */
export const INITIAL_LOAD_BACKOFF_MS = 500;
/** Upper limit of the back-off after failed loads, in milliseconds. */
export const MAX_LOAD_BACKOFF_MS = 30_000;
/** Consecutive failures after which a target's circuit breaker opens. */
export const BREAKER_FAILURE_THRESHOLD = 3;
/** Time between probes of a target whose circuit breaker is open, in
 * milliseconds. */
export const PROBE_INTERVAL_MS = 1_000;
/** Default delay after which a refused entry may try again, in milliseconds. */
export const RETRY_AFTER_MS = 500;
/** Adapter slots of an engine whose configuration has no `adapter_slots`. */
export const DEFAULT_ADAPTER_SLOTS = 8;
/** Concurrent requests of a target whose configuration has no
 * `max_running`. */
export const DEFAULT_MAX_RUNNING = 32;
/** Time that releases are collected before they are sent as one batch, in
 * milliseconds. */
export const RELEASE_BATCH_DELAY_MS = 20;
/** Time after which unacknowledged releases are sent again, in milliseconds. */
export const RELEASE_RETRY_MS = 500;
/** Maximum number of releases in one message. */
export const MAX_RELEASE_BATCH_SIZE = 256;
/** Name that no version can have. An order to evict it changes nothing on the
 * engine except that the engine records the order's fencing token. */
export const FENCE_VERSION_NAME = "_fence@0";
/** Half-life of the count of a workspace's loads, in milliseconds. */
export const LOAD_SHARE_HALF_LIFE_MS = 20_000;
