/** Constants of the benchmark, with their units.
 *
 * @module
 */

/** Requests per second for each engine: the planned peak of 1,100 requests over
 * 1,700 engines. */
export const REQUESTS_PER_S_PER_ENGINE = 1_100 / 1_700;

/** Zipf exponent of the adapters' popularity within a workspace. */
export const ZIPF_EXPONENT = 1.5;

/** Number of equal intervals of a run; popularity shifts between them. */
export const POPULARITY_SHIFTS = 4;

/** Rank exchanges at each shift, as a share of a workspace's adapters. */
export const SHIFT_SHARE = 0.03;

/** Share of the requests whose callers are in the first region. */
export const FIRST_REGION_SHARE = 0.7;

/** Number of adapters that the overnight batch uses. */
export const BATCH_ROUTES = 12;

/** Requests of the overnight batch, as a share of the interactive requests. */
export const BATCH_SHARE = 0.5;

/** Maximum output tokens of an interactive request. */
export const INTERACTIVE_MAX_TOKENS = 128;

/** Maximum output tokens of a batch request. */
export const BATCH_MAX_TOKENS = 256;

/** Tokens that a typical interactive request reserves of its workspace's
 * rate. */
export const MEAN_REQUEST_TOKENS = 235;

/** Ratio of the token rate that the flooding workspace sends to its limit. */
export const FLOOD_FACTOR = 5;

/** Share of the time after the warm-up that passes before the flood. */
export const NORMAL_PHASE_SHARE = 2 / 3;

/** Seconds of a run after its warm-up, and those of a quick run. */
export const RUN_S = 60;
export const QUICK_RUN_S = 12;

/** Time after the last arrival for responses to complete. */
export const DRAIN_LIMIT_MS = 15_000;

/** Time between the start of the callers' processes and the first arrival. */
export const START_DELAY_MS = 2_000;

/** Duration of the warm-up, in which the most popular adapters are requested so
 * that the engines do not start empty. Its requests are not measured. */
export const WARM_UP_MS = 25_000;

/** Rate of loads in the warm-up, as a share of the weight store's rate. */
export const WARM_UP_LOAD_SHARE = 0.8;

/** Prompt bytes per token in the engines' stand-ins. */
export const BYTES_PER_TOKEN = 4;

/** Timeout of one request. */
export const REQUEST_TIMEOUT_MS = 30_000;

/** Tokens that the system adds to its estimate for the chat template of one
 * message. */
export const TOKENS_PER_MESSAGE = 8;

/** Time after the end of the flood in which a response may still complete and
 * count as served. */
export const FLOOD_GRACE_MS = 3_000;

/** Time after which a request that was not served is assumed to have ended,
 * when the central bucket would have refunded its unused tokens. */
export const UNSERVED_SETTLE_MS = 2_000;
