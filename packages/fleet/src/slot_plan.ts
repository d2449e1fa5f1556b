/** Assignment of slots to members.
 *
 * @module
 */
import type { Fleet, Member, Slot } from "@banyanlb/core";
import { MAX_MOVES_PER_ROUND } from "./constants.ts";
import type { FleetView } from "./fleet_view.ts";
import { rendezvousScore, seedOf } from "./slot_rank.ts";

/** Hand-over of one slot to the session `to`. */
export interface SlotMove {
  readonly slot: number;
  readonly to: string;
}

/** Parts of a fleet that a plan depends on. */
export type PlannedFleet = Pick<Fleet, "members" | "slots">;

/** A member, its count of slots and its quota during planning. */
interface Candidate {
  readonly id: string;
  readonly seed: number;
  count: number;
  quota: number;
}

/** Returns the session id of the holder that each slot should have, by slot
 * index. Moves bring the fleet closer to this assignment.
 *
 * The slots of a region are assigned to its own live members, or to all live
 * members if it has none. The members' counts of slots in a region differ by at
 * most one. A member keeps the slots that it holds up to its quota, so that few
 * slots move. Since the members of a region hold the same number of slots, the
 * share of slots that the loss of a failure domain affects is in proportion to
 * its members.
 *
 * @example
 * ```ts
 * const ideal_holders = planIdealHolders(fleet);
 * ideal_holders[0]; // session id of the holder that slot 0 should have
 * ```
 */
export function planIdealHolders(fleet: PlannedFleet): readonly string[] {
  const ideal_holders = fleet.slots.map((slot) => slot.holder);
  const live = fleet.members.filter((member) => member.state === "live");
  if (live.length === 0) return ideal_holders;
  for (const region of new Set(fleet.slots.map((slot) => slot.region))) {
    const slots = indexesOf(fleet.slots, (slot) => slot.region === region);
    planRegion(ideal_holders, slots, candidatesOf(live, region));
  }
  return ideal_holders;
}

/** Returns the moves that hand over slots of `self_id` to their ideal holders,
 * at most {@linkcode MAX_MOVES_PER_ROUND}. */
export function planMoves(
  view: FleetView,
  self_id: string,
): readonly SlotMove[] {
  const ideal_holders = planIdealHolders(view);
  const moves: SlotMove[] = [];
  for (const slot of view.slotsHeldBy(self_id)) {
    const to = ideal_holders[slot];
    if (to === undefined || to === self_id) continue;
    moves.push({ slot, to });
    if (moves.length === MAX_MOVES_PER_ROUND) break;
  }
  return moves;
}

/** Returns the moves that reassign the slots of an ended member. Each slot goes
 * to the recipient in its region that holds the fewest slots of the region, or
 * to one of all recipients if the region has none. No other slot changes its
 * holder. */
export function planReassignment(
  fleet: PlannedFleet,
  ended_id: string,
  recipients: readonly Member[],
): readonly SlotMove[] {
  const moves: SlotMove[] = [];
  const orphans = indexesOf(fleet.slots, (slot) => slot.holder === ended_id);
  const regions = new Set(orphans.map((slot) => fleet.slots[slot]?.region));
  for (const region of regions) {
    const isInRegion = (slot: Slot) => slot.region === region;
    const candidates = candidatesOf(recipients, region);
    countHeld(fleet, indexesOf(fleet.slots, isInRegion), candidates);
    for (const slot of orphans) {
      if (fleet.slots[slot]?.region !== region) continue;
      const recipient = leastLoaded(candidates, slot);
      recipient.count++;
      moves.push({ slot, to: recipient.id });
    }
  }
  return moves;
}

function planRegion(
  ideal_holders: string[],
  slots: readonly number[],
  candidates: readonly Candidate[],
): void {
  const by_id = new Map(candidates.map((c) => [c.id, c]));
  for (const slot of slots) {
    const holder = by_id.get(ideal_holders[slot] ?? "");
    if (holder !== undefined) holder.count++;
  }
  setQuotas(slots.length, candidates);
  const unassigned = releaseSurplus(ideal_holders, slots, by_id);
  for (const slot of unassigned) {
    const below_quota = candidates.filter((c) => c.count < c.quota);
    const recipient = leastLoaded(below_quota, slot);
    recipient.count++;
    ideal_holders[slot] = recipient.id;
  }
}

/** Sets quotas that differ by at most one. The members that hold the most slots
 * get the larger quotas, so that fewer slots move. */
function setQuotas(slot_count: number, candidates: readonly Candidate[]): void {
  const smaller_quota = Math.floor(slot_count / candidates.length);
  const larger_quota_count = slot_count % candidates.length;
  const by_count = [...candidates].sort((a, b) =>
    b.count - a.count || a.seed - b.seed || (a.id < b.id ? -1 : 1)
  );
  for (const [index, candidate] of by_count.entries()) {
    candidate.quota = index < larger_quota_count
      ? smaller_quota + 1
      : smaller_quota;
  }
}

/** Returns the slots whose holder is not a candidate, and of each candidate the
 * slots above its quota, those with the lowest rendezvous scores. Reduces the
 * counts of the candidates accordingly. */
function releaseSurplus(
  ideal_holders: readonly string[],
  slots: readonly number[],
  by_id: ReadonlyMap<string, Candidate>,
): readonly number[] {
  const unassigned = slots.filter((slot) =>
    !by_id.has(ideal_holders[slot] ?? "")
  );
  for (const candidate of by_id.values()) {
    const surplus = candidate.count - candidate.quota;
    if (surplus <= 0) continue;
    const held = slots
      .filter((slot) => ideal_holders[slot] === candidate.id)
      .sort((a, b) =>
        rendezvousScore(candidate.seed, a) - rendezvousScore(candidate.seed, b)
      );
    unassigned.push(...held.slice(0, surplus));
    candidate.count -= surplus;
  }
  return unassigned;
}

function countHeld(
  fleet: PlannedFleet,
  slots: readonly number[],
  candidates: readonly Candidate[],
): void {
  const by_id = new Map(candidates.map((c) => [c.id, c]));
  for (const slot of slots) {
    const holder = by_id.get(fleet.slots[slot]?.holder ?? "");
    if (holder !== undefined) holder.count++;
  }
}

/** Returns the candidate with the fewest slots; the rendezvous score breaks
 * ties. */
function leastLoaded(
  candidates: readonly Candidate[],
  slot: number,
): Candidate {
  return candidates.reduce((best, next) => {
    if (next.count !== best.count) return next.count < best.count ? next : best;
    return rendezvousScore(next.seed, slot) > rendezvousScore(best.seed, slot)
      ? next
      : best;
  });
}

/** Returns the members of the region as candidates, or all members if the
 * region has none. */
function candidatesOf(
  members: readonly Member[],
  region: string | undefined,
): readonly Candidate[] {
  const in_region = members.filter((member) => member.region === region);
  return (in_region.length > 0 ? in_region : members).map((member) => ({
    id: member.id,
    seed: seedOf(member.id),
    count: 0,
    quota: 0,
  }));
}

function indexesOf(
  slots: readonly Slot[],
  matches: (slot: Slot) => boolean,
): readonly number[] {
  const indexes: number[] = [];
  for (const [index, slot] of slots.entries()) {
    if (matches(slot)) indexes.push(index);
  }
  return indexes;
}
