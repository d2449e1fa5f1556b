/** Named limits and times of permits.
 *
 * @module
 */

/** Longest time of one order to an engine, in milliseconds. */
export const ORDER_TIMEOUT_MS = 3_000;
/** Time after an order's end until it can no longer take effect. */
export const ORDER_SETTLE_MS = 3_000;
/** Longest time of a report from an engine or an entry, in milliseconds. */
export const REPORT_TIMEOUT_MS = 1_000;
/** Time between reports of an engine that is not in doubt. */
export const REPORT_INTERVAL_MS = 10_000;
/** Shortest time between two reports of one engine. */
export const REPORT_RETRY_MS = 250;
/** Greatest deadline of a request, in milliseconds. */
export const MAX_DEADLINE_MS = 600_000;
/** Time within which a permit may be used, from when its ask was sent. */
export const USE_WITHIN_MS = 2_000;
/** Fraction by which two monotonic clocks may differ in speed. */
export const MAX_CLOCK_DRIFT_RATIO = 0.01;
/** Time for a request to reach its target and for a cancellation there. */
export const TRANSIT_MARGIN_MS = 1_000;
/** Shortest time that a loaded adapter stays, in milliseconds. */
export const MIN_RESIDENCY_MS = 1_000;
/** Time that a cold ask waits before an adapter in use is drained for it, in
 * milliseconds. */
export const DRAIN_WAIT_MS = { interactive: 1_500, batch: 10_000 } as const;
/** Half-life of an adapter's value, in milliseconds. */
export const GRANT_COUNT_HALF_LIFE_MS = 60_000;
/** Load orders under way at one target. */
export const MAX_PARALLEL_LOADS = 2;
/** Longest time between looks for work, in milliseconds. */
export const MAX_IDLE_WAIT_MS = 60_000;
/** Time between looks at the lease while asks wait, in milliseconds. */
export const LEASE_POLL_MS = 250;
/** Time between looks for room while asks wait, in milliseconds. */
export const SLOT_POLL_MS = 50;
/** Failed loads of a version after which its asks are refused. */
export const MAX_LOAD_ATTEMPTS = 2;
/** First delay after a failed load, in milliseconds. */
export const INITIAL_LOAD_BACKOFF_MS = 500;
/** Greatest delay after a failed load, in milliseconds. */
export const MAX_LOAD_BACKOFF_MS = 30_000;
/** Failures in a row after which a target gets no permits. */
export const BREAKER_FAILURE_THRESHOLD = 3;
/** Time between probes of a failing target, in milliseconds. */
export const PROBE_INTERVAL_MS = 1_000;
/** Time that a refused caller is asked to wait, in milliseconds. */
export const RETRY_AFTER_MS = 500;
/** Adapters of an engine that states no number. */
export const DEFAULT_ADAPTER_SLOTS = 8;
/** Requests at once of a target that states no number. */
export const DEFAULT_MAX_RUNNING = 32;
/** Time that releases are gathered before they are sent. */
export const RELEASE_BATCH_DELAY_MS = 20;
/** Time after which unacknowledged releases are sent again. */
export const RELEASE_RETRY_MS = 500;
/** Greatest number of releases in one message. */
export const MAX_RELEASE_BATCH_SIZE = 256;
/** Engine-side name that no version can have; evicting it has no effect but
 * shows the engine a new fencing number. */
export const FENCE_VERSION_NAME = "_fence@0";
/** Half-life of the count of a workspace's loads, in milliseconds. */
export const LOAD_SHARE_HALF_LIFE_MS = 20_000;
