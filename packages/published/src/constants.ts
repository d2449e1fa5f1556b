/** Sizes and times of publishing and freshness.
 *
 * @module
 */

/** Inline changes of a manifest beyond this many bytes are folded. */
export const MAX_INLINE_BYTES = 32 * 1024;

/** Newest changes that a fold keeps inline, in bytes. */
export const RETAINED_INLINE_BYTES = 8 * 1024;

/** Largest part, in bytes of JSON; the store holds 1 MiB a value. */
export const MAX_PART_BYTES = 960 * 1024;

/** Objects per bucket above which a fold doubles the number of buckets. */
export const MAX_OBJECTS_PER_BUCKET = 2_048;

/** Fewest buckets of a snapshot. A power of two. */
export const MIN_BUCKETS = 16;

/** Most buckets of a snapshot. A power of two. */
export const MAX_BUCKETS = 4_096;

/** Parts written at the same time. */
export const MAX_CONCURRENT_PART_WRITES = 4;

/** Parts read at the same time. Each takes some megabytes until it is packed. */
export const MAX_CONCURRENT_PART_READS = 2;

/** Attempts of one publish before it reports the store's error. */
export const MAX_PUBLISH_ATTEMPTS = 8;

/** Pause before the second attempt, in milliseconds; doubles each time. */
export const PUBLISH_RETRY_BASE_MS = 50;

/** Time limit of one store call of a publish, in milliseconds. */
export const PUBLISH_CALL_TIMEOUT_MS = 5_000;

/** Time for which a part is kept after it was last named, in milliseconds. */
export const PART_RETENTION_MS = 3_600_000;

/** Unreferenced parts removed after one fold, at most. */
export const MAX_REMOVALS_PER_COMPACTION = 256;

/** Pause after a first failed poll, in milliseconds; doubles each time. */
export const POLL_RETRY_BASE_MS = 200;

/** Longest pause after a failed poll, in milliseconds. */
export const POLL_RETRY_MAX_MS = 1_000;

/** Time beyond its wait in which a poll or a question to a peer is answered, in
 * milliseconds. */
export const REPLY_MARGIN_MS = 900;

/** Age of the evidence from which an instance refuses by default, in
 * milliseconds. */
export const FRESH_LIMIT_MS = 2_500;

/** Least time between two questions to the same peer, in milliseconds. */
export const EVIDENCE_INTERVAL_MS = 1_000;

/** Time before the evidence of an outage ends in which it is renewed, in
 * milliseconds. */
export const OUTAGE_RENEWAL_MS = 1_000;

/** Least wait of one long poll of the manifest, in milliseconds. */
export const MIN_POLL_WAIT_MS = 100;

/** Least time between two questions while evidence is about to end, in
 * milliseconds. */
export const MIN_EVIDENCE_INTERVAL_MS = 200;

/** Time between two looks at the age of the evidence, in milliseconds. */
export const GUARD_CHECK_INTERVAL_MS = 100;

/** Time limit of one question to a peer, in milliseconds. */
export const EVIDENCE_TIMEOUT_MS = 800;

/** Peers asked at once where there are more. */
export const MAX_SAMPLED_PEERS = 8;

/** Members up to which an instance always asks as many peers as it may. */
export const SMALL_FLEET_MEMBERS = 32;

/** Peers that renew the word on an outage, asked by an instance of the store's
 * region. They pass on what they heard from others. */
export const RENEWAL_PEERS_IN_STORE_REGION = 3;

/** The same, asked by an instance of another region. */
export const RENEWAL_PEERS_ELSEWHERE = 2;

/** Time limit of a question to few peers, in milliseconds. After it there is
 * still time to ask more. */
export const RENEWAL_TIMEOUT_MS = 200;

/** Changes kept for peers that fall behind, in bytes. */
export const RETAINED_RECENT_BYTES = 64 * 1024;

/** Attempts to read the whole set from a peer that publishes meanwhile. */
export const MAX_FETCH_ATTEMPTS = 3;

/** Peers nearby that a starting instance tries before it reads the store. */
export const MAX_START_PEERS = 2;

/** Shapes that packed objects may share. Objects of further shapes are kept
 * whole. */
export const MAX_SHAPES = 16_384;

/** Objects that are packed in one turn of the event loop, at most. */
export const OBJECTS_PER_TURN = 512;
