/** How often an instance tells each of the others what it does.
 *
 * Digests go from all to all, so their number grows with the square of the
 * fleet. In a small fleet everybody hears of every tick; in a large one distant
 * instances and those that need little hear less often, and an engine's load is
 * summed up by the instance that orders there.
 *
 * @module
 */
/** Other instances up to which everybody is told everything at each tick: about
 * a hundred messages a second. */
const SMALL_FLEET_PEERS_MAX = 20;

/** Other instances from which the pace gets slower still, in proportion. */
const LARGE_FLEET_PEERS = 64;

/** Ticks between digests to the same zone, the same region, and beyond: the
 * way between regions is narrow. */
const SAME_ZONE_TICKS = 2;
const SAME_REGION_TICKS = 3;
const OTHER_REGION_TICKS = 4;

/** Between instances that need little of each other, digests only show that
 * these live and what revisions they know. */
const UNRELATED_PEER_FACTOR = 4;

/** What an instance does for callers. */
export interface MemberRole {
  readonly zone: string;
  readonly region: string;
  /** Whether callers use it. */
  readonly serves: boolean;
  /** Whether it orders at engines. */
  readonly orders: boolean;
}

/** Whether engine loads are summed up by their owners instead of being told by
 * everybody to everybody.
 *
 * @example
 * ```ts
 * sumsLoads(7); // false
 * sumsLoads(59); // true
 * ```
 */
export function aggregatesLoads(peerCount: number): boolean {
  return peerCount > SMALL_FLEET_PEERS_MAX;
}

/** Ticks from one digest to the next towards a peer, among `others` peers.
 * Those that serve callers need each other's counts and the owners of engines
 * need theirs; the rest can wait.
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
  const ticks = self.zone === peer.zone
    ? SAME_ZONE_TICKS
    : self.region === peer.region
    ? SAME_REGION_TICKS
    : OTHER_REGION_TICKS;
  const isNeeded = (self.serves && (peer.serves || peer.orders)) ||
    (self.orders && peer.serves);
  return ticks * Math.max(1, Math.ceil(peerCount / LARGE_FLEET_PEERS)) *
    (isNeeded ? 1 : UNRELATED_PEER_FACTOR);
}
