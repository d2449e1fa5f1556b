/** An immutable snapshot of the fleet.
 *
 * @module
 */
import {
  type Fleet,
  hashToUnitInterval,
  type Member,
  type Slot,
} from "@banyanlb/core";
import { SHARES_PER_WORKSPACE } from "./constants.ts";
import { rankSlots } from "./slot_rank.ts";

const NO_SLOTS: readonly number[] = [];

/** What places a target. */
export interface PlacedTarget {
  readonly name: string;
  readonly region: string;
}

/** Members and slots of one generation. A slot is named by its index.
 *
 * @example
 * ```ts
 * const slot = view.slotOfTarget(target);
 * const owner = slot === undefined ? undefined : view.holder(slot);
 * ```
 */
export class FleetView {
  readonly generation: number;
  readonly members: readonly Member[];
  readonly slots: readonly Slot[];
  readonly #members_by_id: ReadonlyMap<string, Member>;
  readonly #slots_by_holder: ReadonlyMap<string, readonly number[]>;
  readonly #slots_by_region: ReadonlyMap<string, readonly number[]>;

  constructor(fleet: Fleet) {
    this.generation = fleet.generation;
    this.members = fleet.members;
    this.slots = fleet.slots;
    this.#members_by_id = new Map(fleet.members.map((m) => [m.id, m]));
    this.#slots_by_holder = groupSlots(fleet.slots, (slot) => slot.holder);
    this.#slots_by_region = groupSlots(fleet.slots, (slot) => slot.region);
  }

  /** Member of a session id. */
  memberOf(id: string): Member | undefined {
    return this.#members_by_id.get(id);
  }

  /** Members that are not leaving. */
  liveMembers(): readonly Member[] {
    return this.members.filter((member) => member.state === "live");
  }

  /** Slot of a target; `undefined` if its region has no slots. */
  slotOfTarget(target: PlacedTarget): number | undefined {
    const slots = this.#slots_by_region.get(target.region) ?? NO_SLOTS;
    return slots[Math.floor(hashToUnitInterval(target.name) * slots.length)];
  }

  /** Slots that share a workspace's rate and burst. They depend on the name
   * and the table's size only, never on the holders. */
  shareSlots(workspace_name: string): readonly number[] {
    return rankSlots(workspace_name, {
      slots: this.slots.length,
      take: SHARES_PER_WORKSPACE,
    });
  }

  /** Slots that a session holds, in ascending order. */
  slotsHeldBy(id: string): readonly number[] {
    return this.#slots_by_holder.get(id) ?? NO_SLOTS;
  }

  /** Member that holds a slot; `undefined` while it is no member. */
  holder(slot: number): Member | undefined {
    return this.memberOf(this.slots[slot]?.holder ?? "");
  }

  /** Fencing number of a slot: the generation that assigned it. */
  epoch(slot: number): number | undefined {
    return this.slots[slot]?.epoch;
  }
}

function groupSlots(
  slots: readonly Slot[],
  key: (slot: Slot) => string,
): ReadonlyMap<string, readonly number[]> {
  const groups = new Map<string, number[]>();
  for (const [index, slot] of slots.entries()) {
    const group = groups.get(key(slot));
    if (group === undefined) groups.set(key(slot), [index]);
    else group.push(index);
  }
  return groups;
}
