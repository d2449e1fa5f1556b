/** Sizes and times of publishing and freshness.
 *
 * @module
 */

/** Inline changes of a manifest beyond this many bytes are compacted into
 * parts. */
export const MAX_INLINE_BYTES = 32 * 1024;

/** Most recent changes that stay inline after a compaction, in bytes. */
export const RETAINED_INLINE_BYTES = 8 * 1024;

/** Largest part, in bytes of JSON. The store accepts values of up to 1 MiB. */
export const MAX_PART_BYTES = 960 * 1024;

/** Average number of objects per bucket above which a compaction doubles the
 * number of buckets. */
export const MAX_OBJECTS_PER_BUCKET = 2_048;

/** Minimum number of buckets of a snapshot. A power of two. */
export const MIN_BUCKETS = 16;

/** Maximum number of buckets of a snapshot. A power of two. */
export const MAX_BUCKETS = 4_096;

/** Parts written concurrently. */
export const MAX_CONCURRENT_PART_WRITES = 4;

/** Parts read concurrently. Each takes several megabytes until it is packed. */
export const MAX_CONCURRENT_PART_READS = 2;

/** Maximum number of attempts of one publish; then it returns an error. */
export const MAX_PUBLISH_ATTEMPTS = 8;

/** Base delay of a publish's exponential back-off, in milliseconds. Attempt `i`
 * (from 0) waits this times 2^i. */
export const PUBLISH_RETRY_BASE_MS = 50;

/** Timeout of one store call of a publish, in milliseconds. */
export const PUBLISH_CALL_TIMEOUT_MS = 5_000;

/** Time for which an unreferenced part is retained, in milliseconds. */
export const PART_RETENTION_MS = 3_600_000;

/** Maximum number of unreferenced parts removed after one compaction. */
export const MAX_REMOVALS_PER_COMPACTION = 256;

/** Delay after the first failed poll, in milliseconds. It doubles with each
 * further failure. */
export const POLL_RETRY_BASE_MS = 200;

/** Maximum delay after a failed poll, in milliseconds. */
export const POLL_RETRY_MAX_MS = 1_000;

/** Time allowed for the reply to a poll, beyond its wait, or to an evidence
 * request, in milliseconds. */
export const REPLY_MARGIN_MS = 900;

/** Default age of the evidence from which an instance refuses to serve, in
 * milliseconds. */
export const FRESH_LIMIT_MS = 2_500;

/** Time between two evidence requests, in milliseconds. */
export const EVIDENCE_INTERVAL_MS = 1_000;

/** How long before it expires the evidence of an outage is renewed, in
 * milliseconds. */
export const OUTAGE_RENEWAL_MS = 1_000;

/** Minimum wait of one long poll of the manifest, in milliseconds. */
export const MIN_POLL_WAIT_MS = 100;

/** Minimum time between two evidence requests while evidence is about to
 * expire, in milliseconds. */
export const MIN_EVIDENCE_INTERVAL_MS = 200;

/** Time between two checks of the age of the evidence, in milliseconds. */
export const GUARD_CHECK_INTERVAL_MS = 100;

/** Timeout of one evidence request, in milliseconds. */
export const EVIDENCE_TIMEOUT_MS = 800;

/** Maximum number of attesters in a sample of peers. */
export const MAX_SAMPLED_PEERS = 8;

/** Fleets with fewer other members than this always use a full sample, also to
 * renew the evidence of an outage. */
export const SMALL_FLEET_MEMBERS = 32;

/** Number of peers from which an instance of the store's region requests
 * renewed evidence of an outage. Their replies include contacts that were
 * relayed to them. */
export const RENEWAL_PEERS_IN_STORE_REGION = 3;

/** Number of peers from which an instance of any other region requests renewed
 * evidence of an outage. */
export const RENEWAL_PEERS_ELSEWHERE = 2;

/** Timeout of an evidence request to a small sample, in milliseconds. It leaves
 * time for requests to a full sample before the evidence expires. */
export const RENEWAL_TIMEOUT_MS = 200;

/** Most recent changes retained for peers that have fallen behind, in bytes. */
export const RETAINED_RECENT_BYTES = 64 * 1024;

/** Attempts to fetch the whole configuration from a peer whose generation
 * changes during the fetch. */
export const MAX_FETCH_ATTEMPTS = 3;

/** Nearby peers that a starting instance tries before it reads from the
 * store. */
export const MAX_START_PEERS = 2;

/** Maximum number of shapes that packed objects share. Objects of further
 * shapes are stored whole. */
export const MAX_SHAPES = 16_384;

/** Maximum number of objects packed in one turn of the event loop. */
export const OBJECTS_PER_TURN = 512;
