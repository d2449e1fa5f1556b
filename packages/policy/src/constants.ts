/** Limits, times and costs of the policies.
 *
 * @module
 */

/** Maximum number of requests that wait for one target. */
export const MAX_QUEUED_REQUESTS = 512;
/** Wait after which a batch request may be served before interactive
 * requests. */
export const BATCH_AGING_MS = 5_000;
/** Share of the tokens that aged batch requests get while interactive requests
 * wait. */
export const AGED_BATCH_SHARE = 0.1;
/** Maximum credit of aged batch requests, in tokens. */
export const MAX_BATCH_CREDIT_TOKENS = 20_000;
/** Once a workspace's oldest request has waited this long, requests are no
 * longer grouped by adapter version. */
export const MAX_GROUPING_WAIT_MS = 250;
/** Maximum lag of a workspace behind virtual time, in tokens per unit of
 * weight. */
export const MAX_LAG_TOKENS_PER_WEIGHT = 50_000;
/** Half-life of a version's request rate, in milliseconds. */
export const RATE_HALF_LIFE_MS = 60_000;
/** Fleet-wide requests per second of a version for each further home. */
export const RATE_PER_HOME = 2;
/** Maximum number of versions whose rates and homes are kept. */
export const MAX_TRACKED_VERSIONS = 4_096;
/** Maximum number of prompt prefixes whose targets are kept. */
export const MAX_TRACKED_PREFIXES = 4_096;
/** Half-life of a reported load: its weight halves in this time. */
export const HINT_HALF_LIFE_MS = 5_000;
/** Time for which a version counts as loaded on a target after a permit for it
 * was granted there. */
export const LOADED_TTL_MS = 60_000;
/** Time for which a target gets no requests after it failed, in
 * milliseconds. */
export const FAILED_TTL_MS = 5_000;
/** Typical duration of a request, in milliseconds. */
export const TYPICAL_REQUEST_MS = 2_000;
/** Cost of loading an adapter, in milliseconds of wait. */
export const LOAD_COST_MS = 300;
/** The cost of a load is divided among the requests expected within this time,
 * in seconds. */
export const LOAD_AMORTIZATION_S = 10;
/** Additional cost of a load that evicts an adapter in use. */
export const EVICTION_COST_MS = 1_000;
/** Additional cost of a load on a target that is not a home of the version. */
export const NON_HOME_COST_MS = 400;
/** Cost of a target in another region, in milliseconds of wait. */
export const REGION_COST_MS = 30;
/** Cost reduction for the target that last served the prompt prefix, in
 * milliseconds of wait. */
export const PREFIX_GAIN_MS = 50;
