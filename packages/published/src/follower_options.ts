/** What a follower of the configuration works with.
 *
 * @module
 */
import type { Clock, EventLog, Metrics, ObjectStore } from "@banyanlb/core";
import type { FreshnessTimes } from "./freshness_times.ts";
import type { ConfigPeers } from "./peers.ts";
import type { Snapshot } from "./snapshot.ts";

/** Called in the turn in which a new snapshot takes effect. */
export type SnapshotListener = (
  snapshot: Snapshot,
  previous: Snapshot | undefined,
) => void;

/** What a follower works with. */
export interface ConfigFollowerDeps {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly peers: ConfigPeers;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** Where a follower may start from. */
export interface ConfigFollowerOptions {
  /** Ids of members nearby. A starting instance reads the set from the first
   * that answers, and from the store only what that one lacks. */
  readonly nearby_members?: () => readonly string[];
  /** Default: those of the default limit. */
  readonly times?: FreshnessTimes;
}
