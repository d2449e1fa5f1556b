/** Named limits and times of the policy.
 *
 * @module
 */

/** Asks that wait for one target at most. */
export const MAX_QUEUED_REQUESTS = 512;
/** Wait after which a batch ask may go before interactive ones. */
export const BATCH_AGING_MS = 5_000;
/** Share of the tokens that aged batch asks get beside interactive ones. */
export const AGED_BATCH_SHARE = 0.1;
/** Greatest credit of aged batch asks, in tokens. */
export const MAX_BATCH_CREDIT_TOKENS = 20_000;
/** Wait of a workspace's oldest ask that ends the grouping by adapter. */
export const MAX_GROUPING_WAIT_MS = 250;
/** Greatest lag of a workspace behind the others, in tokens per weight. */
export const MAX_LAG_TOKENS_PER_WEIGHT = 50_000;
/** Half-life of a version's request rate, in milliseconds. */
export const RATE_HALF_LIFE_MS = 60_000;
/** Fleet-wide requests a second of a version for each further home. */
export const RATE_PER_HOME = 2;
/** Versions whose rates and homes are kept. */
export const MAX_TRACKED_VERSIONS = 4_096;
/** Prefixes whose targets are kept. */
export const MAX_TRACKED_PREFIXES = 4_096;
/** Time after which half of a reported load is taken as gone. */
export const HINT_HALF_LIFE_MS = 5_000;
/** Time for which a version counts as loaded since it was seen so. */
export const LOADED_TTL_MS = 60_000;
/** Time without requests after a target failed, in milliseconds. */
export const FAILED_TTL_MS = 5_000;
/** Typical time of a request, in milliseconds. */
export const TYPICAL_REQUEST_MS = 2_000;
/** Cost of a load, in milliseconds of wait. */
export const LOAD_COST_MS = 300;
/** Time over whose requests the cost of a load is spread, in seconds. */
export const LOAD_AMORTIZATION_S = 10;
/** Further cost of a load that evicts an adapter in use. */
export const EVICTION_COST_MS = 1_000;
/** Further cost of a load outside the version's homes. */
export const NON_HOME_COST_MS = 400;
/** Cost of another region, in milliseconds of wait. */
export const REGION_COST_MS = 30;
/** Gain of the target that last served the prefix, in milliseconds. */
export const PREFIX_GAIN_MS = 50;
