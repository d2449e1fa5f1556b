/** Intervals of the digests that instances gossip to each other.
 *
 * Every instance sends digests to every other, so their number grows with the
 * square of the fleet. In a small fleet each peer receives a digest every tick.
 * In a large fleet, distant peers and peers that need little of each other
 * receive digests less often, and the owner of an engine reports the engine's
 * total load.
 *
 * @module
 */
import { distanceBetween } from "./distance.ts";

/** Largest number of peers that receive a digest every tick: about a hundred
 * messages a second. */
const SMALL_FLEET_PEERS_MAX = 20;

/** Number of peers above which the interval grows in proportion. */
const LARGE_FLEET_PEERS = 64;

/** Ticks between digests to peers in the same zone, in another zone of the
 * region, and in another region: links between regions have little
 * bandwidth. */
const TICKS_BY_DISTANCE = [2, 3, 4] as const;

/** Interval factor between instances that need little of each other: their
 * digests only show that they are alive and which revisions they have. */
const UNRELATED_PEER_FACTOR = 4;

/** Location of an instance, and whether it serves callers or sends orders to
 * engines. */
export interface MemberRole {
  readonly zone: string;
  readonly region: string;
  /** Whether callers use the instance. */
  readonly serves: boolean;
  /** Whether the instance sends orders to engines. */
  readonly orders: boolean;
}

/** Whether the owner of an engine reports the engine's total load, instead of
 * each instance reporting its own requests to all peers.
 *
 * @example
 * ```ts
 * aggregatesLoads(7); // false
 * aggregatesLoads(59); // true
 * ```
 */
export function aggregatesLoads(peerCount: number): boolean {
  return peerCount > SMALL_FLEET_PEERS_MAX;
}

/** Ticks between two digests to a peer, with `peerCount` peers in total.
 * Instances that serve callers need each other's counts, and the owners of
 * engines need the counts of those instances; other digests can wait.
 *
 * @example
 * ```ts
 * ticksBetweenDigests(self, peer, 59);
 * ```
 */
export function ticksBetweenDigests(
  self: MemberRole,
  peer: MemberRole,
  peerCount: number,
): number {
  if (!aggregatesLoads(peerCount)) return 1;
  const ticks = TICKS_BY_DISTANCE[distanceBetween(self, peer)];
  const isNeeded = (self.serves && (peer.serves || peer.orders)) ||
    (self.orders && peer.serves);
  return ticks * Math.max(1, Math.ceil(peerCount / LARGE_FLEET_PEERS)) *
    (isNeeded ? 1 : UNRELATED_PEER_FACTOR);
}
