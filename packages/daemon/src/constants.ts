/** Constants of the daemon, with their units.
 *
 * @module
 */

/** Longest time for a peer to accept a connection. */
export const PEER_CONNECT_TIMEOUT_MS = 1_000;

/** Shortest time between two attempts to connect to the same peer. */
export const PEER_RECONNECT_MIN_MS = 100;

/** Longest time for a short exchange with a peer. */
export const PEER_REQUEST_TIMEOUT_MS = 800;

/** Largest message that a peer may send. */
export const PEER_MESSAGE_MAX_BYTES = 8 * 1024 * 1024;

/** Longest time for a caller to send its request's headers. */
export const CALLER_HEADERS_TIMEOUT_MS = 5_000;

/** Longest time for a caller to send a whole request. */
export const CALLER_REQUEST_TIMEOUT_MS = 30_000;

/** Idle time after which a caller's connection is closed. */
export const CALLER_KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** Default time for a whole request. */
export const REQUEST_TIMEOUT_MS = 120_000;

/** Longest time for a whole request, as the schema of routes allows. */
export const REQUEST_TIMEOUT_MAX_MS = 600_000;

/** Longest time for a target to accept a connection. */
export const TARGET_CONNECT_TIMEOUT_MS = 1_000;

/** Longest time for a stream to stay silent. */
export const TARGET_BODY_IDLE_TIMEOUT_MS = 30_000;

/** Tokens that an answer may have if the caller names no limit. */
export const DEFAULT_MAX_TOKENS = 256;

/** Tokens added for each chat message by the engine's template. */
export const TEMPLATE_TOKENS_PER_MESSAGE = 8;

/** Retries that each served request adds to the budget. */
export const RETRY_BUDGET_RATIO = 0.1;

/** Most retries that the budget holds. */
export const RETRY_BUDGET_MAX = 20;

/** Targets that one request tries at most. */
export const TARGET_ATTEMPTS_MAX = 4;

/** Time between two rounds of slot moves. */
export const REBALANCE_INTERVAL_MS = 500;

/** Time for which a permit is waited for at a target before the next one. */
export const TARGET_PERMIT_WAIT_MAX_MS = 1_500;

/** Longest wait of an interactive request in a target's queue. */
export const QUEUE_WAIT_MAX_MS = 20_000;

/** Time for an owner's answer beyond the wait that it was allowed. */
export const PERMIT_REPLY_MARGIN_MS = 800;

/** Pause before a moved target's new owner is asked. */
export const OWNER_RETRY_DELAY_MS = 50;

/** Tokens that a call to a plain service costs. */
export const TOKENS_PER_SERVICE_CALL = 1;

/** Tokens that one load from the weight store costs of its budget. */
export const TOKENS_PER_LOAD = 1;

/** Workspace name under which the weight store's rate is shared. Not a valid
 * name of an object, so that none can collide. */
export const WEIGHT_STORE_WORKSPACE = "~weights";

/** Time between two reads of the instance list for each of its rows. Bounds
 * the bytes that the reads cost to about 0.4 KB a second. */
export const LIST_READ_MS_PER_ROW = 100;

/** Time for which questions to the same peer are gathered. */
export const REPORT_BATCH_WINDOW_MS = 5;

/** Time for which a handoff waits for the fleet's table to show its move. */
export const HANDOFF_RETENTION_MS = 10_000;

/** Longest time of an order to an engine. */
export const ORDER_TIMEOUT_MAX_MS = 3_000;

/** Longest time of an order as a fraction of the lease's term. */
export const ORDER_TIMEOUT_LEASE_FRACTION = 0.5;

/** Time between two sweeps of old intent records. */
export const INTENT_SWEEP_INTERVAL_MS = 600_000;

/** Slot whose holder sweeps. */
export const INTENT_SWEEP_SLOT = 0;

/** Time between two looks at the configuration's freshness. */
export const FRESHNESS_CHECK_INTERVAL_MS = 100;

/** Longest time that a request waits for tokens of its workspace. */
export const TOKEN_WAIT_MAX_MS = 250;

/** Time between two looks for a pause of the process. */
export const PAUSE_CHECK_INTERVAL_MS = 50;

/** Shortest gap between two looks that counts as a pause. */
export const PAUSE_GAP_MIN_MS = 200;

/** Time after a pause in which what waited in sockets is read. */
export const PAUSE_BACKLOG_WINDOW_MS = 250;
