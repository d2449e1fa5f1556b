/** Assigns engines to instances. The owner of an engine is the instance that
 * sends orders to it.
 *
 * @module
 */
import { hashToUnitInterval } from "@banyanlb/core";

/** The owner of each engine, by the engine's key. */
export type Assignment = Readonly<Record<string, string>>;

/** A member that may own engines. */
export interface OwnerCandidate {
  readonly owner: string;
  readonly zone: string;
  /** Number of processor cores. Callers use the members with the most cores. */
  readonly cores: number;
}

/** An engine without an owner. */
export interface UnassignedEngine {
  readonly key: string;
  readonly zone: string;
}

/** Number of engines for which a zone has one owner more, and the least number of
 * its owners: each owner renews its lease often. */
const ENGINES_PER_OWNER = 6;
const OWNERS_MIN = 3;

/** Assigns each engine of `unassigned` to a member of its zone, or to any
 * member if the zone has none. A few members of each zone become owners, first
 * those that are, then those with the fewest cores; the one with the fewest
 * engines is chosen; ties go to the fewest cores, then to the hash. Engines in
 * `kept` keep their owners, since each move interrupts the orders to the engine.
 *
 * @example
 * ```ts
 * planAssignment({}, [{ key: "e-1", zone: "a" }], [
 *   { owner: "m", zone: "b", cores: 1 },
 * ]);
 * ```
 */
export function planAssignment(
  kept: Assignment,
  unassigned: readonly UnassignedEngine[],
  members: readonly OwnerCandidate[],
): Assignment {
  const counts = new Map(members.map(({ owner }) => [owner, 0]));
  for (const owner of Object.values(kept)) {
    const count = counts.get(owner);
    if (count !== undefined) counts.set(owner, count + 1);
  }
  const planned: Record<string, string> = {};
  const sorted = [...unassigned].sort((a, b) => a.key < b.key ? -1 : 1);
  const ownersByZone = new Map<string, readonly OwnerCandidate[]>();
  for (const { key, zone } of sorted) {
    let owners = ownersByZone.get(zone);
    if (owners === undefined) {
      const sameZone = members.filter((m) => m.zone === zone);
      const added = unassigned.filter((engine) => engine.zone === zone).length;
      owners = ownersOf(sameZone.length > 0 ? sameZone : members, {
        counts,
        added,
      });
      ownersByZone.set(zone, owners);
    }
    const owner = leastLoaded(key, owners, counts);
    if (owner === undefined) continue;
    planned[key] = owner;
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
  }
  return planned;
}

/** The members that may own the engines of a zone. */
function ownersOf(
  members: readonly OwnerCandidate[],
  options: {
    readonly counts: ReadonlyMap<string, number>;
    readonly added: number;
  },
): readonly OwnerCandidate[] {
  const { counts, added } = options;
  const countOf = ({ owner }: OwnerCandidate) => counts.get(owner) ?? 0;
  const engines = members.reduce((sum, m) => sum + countOf(m), added);
  const ranked = [...members].sort((a, b) =>
    Number(countOf(b) > 0) - Number(countOf(a) > 0) || a.cores - b.cores ||
    (a.owner < b.owner ? -1 : 1)
  );
  return ranked.slice(
    0,
    Math.max(OWNERS_MIN, Math.ceil(engines / ENGINES_PER_OWNER)),
  );
}

function leastLoaded(
  engine: string,
  members: readonly OwnerCandidate[],
  counts: ReadonlyMap<string, number>,
): string | undefined {
  let best: string | undefined;
  let bestCount = Infinity;
  let bestCores = Infinity;
  let bestHash = 0;
  for (const { owner, cores } of members) {
    const count = counts.get(owner) ?? 0;
    const hash = hashToUnitInterval(`${engine} ${owner}`);
    const comparison = count - bestCount || cores - bestCores ||
      bestHash - hash;
    if (comparison < 0 || best === undefined) {
      best = owner;
      bestCount = count;
      bestCores = cores;
      bestHash = hash;
    }
  }
  return best;
}
