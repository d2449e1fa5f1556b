/** Dependencies and options of a {@linkcode ConfigFollower}.
 *
 * @module
 */
import type { Clock, EventLog, Metrics, ObjectStore } from "@banyanlb/core";
import type { FreshnessTimes } from "./freshness_times.ts";
import type { ConfigPeers } from "./peers.ts";
import type { Snapshot } from "./snapshot.ts";

/** Called in the same event-loop turn in which a new snapshot takes effect. */
export type SnapshotListener = (
  snapshot: Snapshot,
  previous: Snapshot | undefined,
) => void;

/** Dependencies of a {@linkcode ConfigFollower}. */
export interface ConfigFollowerDeps {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly peers: ConfigPeers;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** Options of a {@linkcode ConfigFollower}. */
export interface ConfigFollowerOptions {
  /** Ids of nearby members. A starting instance fetches the configuration from
   * the first that replies, and reads from the store only what is missing
   * after that. */
  readonly nearby_members?: () => readonly string[];
  /** Default: {@linkcode freshnessTimes} of the default limit. */
  readonly times?: FreshnessTimes;
}
