/** Constants of the benchmark, with their units.
 *
 * @module
 */

/** Requests a second for each engine: the planned peak of 1,100 requests over
 * 1,700 engines. */
export const REQUESTS_PER_S_PER_ENGINE = 1_100 / 1_700;

/** Skew of the adapters' popularity within a workspace. */
export const ZIPF_EXPONENT = 1.5;

/** Intervals of a run between which popularity shifts. */
export const POPULARITY_SHIFTS = 4;

/** Share of a workspace's adapters that change rank at each shift. */
export const SHIFT_SHARE = 0.03;

/** Share of the callers in the first region. */
export const FIRST_REGION_SHARE = 0.7;

/** Adapters of the overnight batch. */
export const BATCH_ROUTES = 12;

/** Requests of the overnight batch, as a share of all interactive ones. */
export const BATCH_SHARE = 0.5;

/** Most output tokens of an interactive request. */
export const INTERACTIVE_MAX_TOKENS = 128;

/** Most output tokens of a batch request. */
export const BATCH_MAX_TOKENS = 256;

/** Tokens that a typical interactive request reserves. */
export const MEAN_REQUEST_TOKENS = 235;

/** Times its rate that the flooding workspace sends. */
export const FLOOD_FACTOR = 5;

/** Part of a run after its warm-up and before the flood. */
export const NORMAL_PHASE_SHARE = 2 / 3;

/** Seconds of a run after its warm-up, and of a quick one. */
export const RUN_S = 60;
export const QUICK_RUN_S = 12;

/** Time after the last arrival for answers to end. */
export const DRAIN_LIMIT_MS = 15_000;

/** Time between the start of the callers' processes and the first arrival. */
export const START_DELAY_MS = 2_000;

/** Time before a run in which the most popular adapters are asked for, so that
 * engines do not start empty. It is not counted. */
export const WARM_UP_MS = 25_000;

/** Loads of the warm-up as a share of the weight store's rate. */
export const WARM_UP_LOAD_SHARE = 0.8;

/** Bytes of a prompt that make one token of the stand-ins' engines. */
export const BYTES_PER_TOKEN = 4;

/** Longest time of one request. */
export const REQUEST_TIMEOUT_MS = 30_000;

/** Tokens that the system counts for the template of one message. */
export const TOKENS_PER_MESSAGE = 8;

/** Time after the flood within which its last answers must end to count. */
export const FLOOD_GRACE_MS = 3_000;

/** Time after which a request that was not served would have ended. */
export const UNSERVED_SETTLE_MS = 2_000;
