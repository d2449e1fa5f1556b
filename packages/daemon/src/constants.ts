/** Constants of the daemon. A suffix names the unit.
 *
 * @module
 */

/** Timeout of connecting to a peer. */
export const PEER_CONNECT_TIMEOUT_MS = 1_000;

/** Minimum interval between two attempts to connect to the same peer. */
export const PEER_RECONNECT_MIN_MS = 100;

/** Timeout of a request to a peer that the peer answers without waiting. */
export const PEER_REQUEST_TIMEOUT_MS = 800;

/** Maximum size of a message from a peer. */
export const PEER_MESSAGE_MAX_BYTES = 8 * 1024 * 1024;

/** Timeout for receiving the headers of a caller's request. */
export const CALLER_HEADERS_TIMEOUT_MS = 5_000;

/** Timeout for receiving a caller's whole request, with its body. */
export const CALLER_REQUEST_TIMEOUT_MS = 30_000;

/** Idle time after which a caller's connection is closed. */
export const CALLER_KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** Timeout of a request from its arrival to the end of the response, if its
 * route sets none. */
export const REQUEST_TIMEOUT_MS = 120_000;

/** Largest request timeout that the schema of routes allows. */
export const REQUEST_TIMEOUT_MAX_MS = 600_000;

/** Timeout of connecting to a target. */
export const TARGET_CONNECT_TIMEOUT_MS = 1_000;

/** Longest gap between two chunks of a target's response body. */
export const TARGET_BODY_IDLE_TIMEOUT_MS = 30_000;

/** Maximum completion tokens of a request that sets no `max_tokens`. */
export const DEFAULT_MAX_TOKENS = 256;

/** Most tokens that an engine's chat template adds for each message. */
export const TEMPLATE_TOKENS_PER_MESSAGE = 8;

/** Retries that each request adds to the retry budget. */
export const RETRY_BUDGET_RATIO = 0.1;

/** Maximum balance of the retry budget, and its balance at start. */
export const RETRY_BUDGET_MAX = 20;

/** Maximum number of targets at which one request waits for a permit. */
export const PERMIT_TARGETS_MAX = 4;

/** Interval between two rounds of slot rebalancing. */
export const REBALANCE_INTERVAL_MS = 500;

/** Longest wait for a permit at one target before the next target is tried. */
export const TARGET_PERMIT_WAIT_MAX_MS = 1_500;

/** Longest wait of an interactive request in the permit queue of a target. */
export const QUEUE_WAIT_MAX_MS = 20_000;

/** Margin for the owner's reply to a permit request, added to the queue wait
 * that the request allows. */
export const PERMIT_REPLY_MARGIN_MS = 800;

/** Delay before a permit is requested again from the new owner of a target whose
 * slot is moving. */
export const OWNER_RETRY_DELAY_MS = 50;

/** Rate tokens charged for a call to a plain service. */
export const TOKENS_PER_SERVICE_CALL = 1;

/** Rate tokens charged for one load from the weight store. */
export const TOKENS_PER_LOAD = 1;

/** Workspace name under which the fleet shares the load rate of the weight
 * store. Not a valid object name, so no workspace can have it. */
export const WEIGHT_STORE_WORKSPACE = "~weights";

/** Minimum interval between two reads of the instance list, per row of the list.
 * Limits the traffic of the reads to about 0.4 KB a second at any list size. */
export const LIST_READ_MS_PER_ROW = 100;

/** Time for which report requests to the same peer are collected into one
 * message. */
export const REPORT_BATCH_WINDOW_MS = 5;

/** Longest time that a received handoff is kept while the fleet table does not
 * show the move of its slot. */
export const HANDOFF_RETENTION_MS = 10_000;

/** Upper bound of the timeout of an order to an engine. */
export const ORDER_TIMEOUT_MAX_MS = 3_000;

/** Upper bound of the timeout of an order, as a fraction of the lease term. */
export const ORDER_TIMEOUT_LEASE_FRACTION = 0.5;

/** Interval between two sweeps of old intent records. */
export const INTENT_SWEEP_INTERVAL_MS = 600_000;

/** Index of the slot whose holder sweeps intent records, so that one instance of
 * the fleet does. */
export const INTENT_SWEEP_SLOT = 0;

/** Interval between two checks of the configuration's freshness. */
export const FRESHNESS_CHECK_INTERVAL_MS = 100;

/** Longest wait of a request for rate tokens of its workspace. */
export const TOKEN_WAIT_MAX_MS = 250;

/** Interval between two checks whether the process was paused. */
export const PAUSE_CHECK_INTERVAL_MS = 50;

/** Shortest gap between two checks that counts as a pause of the process. */
export const PAUSE_GAP_MIN_MS = 200;

/** Time after a pause during which requests that were buffered in sockets are
 * still being read. */
export const PAUSE_BACKLOG_WINDOW_MS = 250;
