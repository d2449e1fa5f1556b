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
const SMALL_FLEET = 20;

/** Other instances from which the pace gets slower still, in proportion. */
const LARGE_FLEET = 64;

/** Ticks between digests to the same zone, the same region, and beyond: the
 * way between regions is narrow. */
const ZONE_TICKS = 2;
const REGION_TICKS = 3;
const FAR_TICKS = 4;

/** Between instances that need little of each other, digests only show that
 * these live and what revisions they know. */
const IDLE_FACTOR = 4;

/** What an instance does for callers. */
export interface FleetPart {
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
export function sumsLoads(others: number): boolean {
  return others > SMALL_FLEET;
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
  self: FleetPart,
  peer: FleetPart,
  others: number,
): number {
  if (!sumsLoads(others)) return 1;
  const ticks = self.zone === peer.zone
    ? ZONE_TICKS
    : self.region === peer.region
    ? REGION_TICKS
    : FAR_TICKS;
  const needed = (self.serves && (peer.serves || peer.orders)) ||
    (self.orders && peer.serves);
  return ticks * Math.max(1, Math.ceil(others / LARGE_FLEET)) *
    (needed ? 1 : IDLE_FACTOR);
}
