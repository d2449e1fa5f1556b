/** Which instances exchange digests.
 *
 * In a small fleet every instance sends digests to every other. In a large one
 * the instances of a zone form a group. Two of them, the collectors, receive the
 * digests of the group, exchange them with the collectors of the other groups,
 * one for one, and pass everything on to their group. So the number of an
 * instance's connections, and the age of what it knows, do not grow with the
 * fleet; a collector has one connection more for each zone. Everybody finds the
 * collectors by the common order of the members, without an election.
 *
 * @module
 */
import { precedes } from "./member_rank.ts";
import type { Member } from "./types.ts";

/** Largest number of peers that receive digests directly: about a hundred
 * messages a second at the usual interval. */
const SMALL_FLEET_PEERS_MAX = 20;

/** Number of collectors of a group. While one is lost, everything still arrives
 * by the other. */
const COLLECTORS_PER_GROUP = 2;

/** Number of instances of a zone that are tried while none is usable. */
const TRIED_MAX = 4;

/** The instances with which one exchanges digests. */
export interface DigestTargets {
  /** Whether this instance collects the digests of its group. */
  readonly isCollector: boolean;
  /** The collectors to which an instance reports that is none. */
  readonly collectors: readonly Member[];
  /** The other collectors of a collector's own group. */
  readonly siblings: readonly Member[];
  /** Collectors of the other groups, one of each. */
  readonly counterparts: readonly Member[];
}

/** Whether the fleet is so large that digests pass through collectors.
 *
 * @example
 * ```ts
 * isLargeFleet(7); // false
 * isLargeFleet(59); // true
 * ```
 */
export function isLargeFleet(peerCount: number): boolean {
  return peerCount > SMALL_FLEET_PEERS_MAX;
}

/** The group to which an instance belongs: its zone, or itself in a small
 * fleet. */
export function digestGroupOf(member: Member, isLarge: boolean): string {
  return isLarge ? member.zone : member.name;
}

/** All instances by zone, in their common order. */
export type RankedZones = ReadonlyMap<string, readonly Member[]>;

/** Ranks the instances of each zone. */
export function rankZones(members: readonly Member[]): RankedZones {
  const zones = new Map<string, Member[]>();
  for (const member of [...members].sort((a, b) => precedes(a, b) ? -1 : 1)) {
    const zone = zones.get(member.zone);
    if (zone === undefined) zones.set(member.zone, [member]);
    else zone.push(member);
  }
  return zones;
}

/** The instances with which `self`, one of a large fleet, exchanges digests.
 * Those that are not usable are passed over, so that the next in order take
 * their place. Of a zone without any, the first in order are tried by `turn`: it
 * may be reached again.
 *
 * @example
 * ```ts
 * digestTargets(self, rankZones([self, ...peers]), {
 *   isUsable: () => true,
 *   turn: 0,
 * });
 * ```
 */
export function digestTargets(
  self: Member,
  zones: RankedZones,
  options: {
    readonly isUsable: (member: Member) => boolean;
    /** A number that differs from time to time. */
    readonly turn: number;
  },
): DigestTargets {
  const { isUsable, turn } = options;
  const collectorsByZone = new Map(
    [...zones].map(([zone, ranked]) => [
      zone,
      collectorsOf(ranked, {
        isUsable: (member) => member === self || isUsable(member),
        turn,
      }),
    ]),
  );
  const own = collectorsByZone.get(self.zone) ?? [];
  const rank = own.indexOf(self);
  if (rank < 0) {
    return {
      isCollector: false,
      collectors: own,
      siblings: [],
      counterparts: [],
    };
  }
  collectorsByZone.delete(self.zone);
  return {
    isCollector: true,
    collectors: [],
    siblings: own.filter((member) => member !== self),
    counterparts: [...collectorsByZone.values()].flatMap((collectors) =>
      collectors[Math.min(rank, collectors.length - 1)] ?? []
    ),
  };
}

/** The targets in a small fleet: all peers. */
export function allTargets(peers: readonly Member[]): DigestTargets {
  return {
    isCollector: true,
    collectors: [],
    siblings: [],
    counterparts: peers,
  };
}

function collectorsOf(
  ranked: readonly Member[],
  options: {
    readonly isUsable: (member: Member) => boolean;
    readonly turn: number;
  },
): readonly Member[] {
  const collectors: Member[] = [];
  for (const member of ranked) {
    if (collectors.length === COLLECTORS_PER_GROUP) break;
    if (options.isUsable(member)) collectors.push(member);
  }
  if (collectors.length > 0) return collectors;
  const first = options.turn % Math.min(ranked.length, TRIED_MAX);
  return ranked.slice(first, first + COLLECTORS_PER_GROUP);
}
