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

/** Properties of a target that determine its slot. */
export interface PlacedTarget {
  readonly name: string;
  readonly region: string;
}

/** Members and slots of one generation. A slot is identified by its index.
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

  /** Returns the member with a session id. */
  memberOf(id: string): Member | undefined {
    return this.#members_by_id.get(id);
  }

  /** Returns the members that are not leaving. */
  liveMembers(): readonly Member[] {
    return this.members.filter((member) => member.state === "live");
  }

  /** Returns the slot of a target; `undefined` if its region has no slots. */
  slotOfTarget(target: PlacedTarget): number | undefined {
    const slots = this.#slots_by_region.get(target.region) ?? NO_SLOTS;
    return slots[Math.floor(hashToUnitInterval(target.name) * slots.length)];
  }

  /** Returns the slots that share a workspace's rate and burst. They depend
   * only on the workspace's name and the size of the table, never on the
   * holders. */
  shareSlots(workspace_name: string): readonly number[] {
    return rankSlots(workspace_name, {
      slots: this.slots.length,
      take: SHARES_PER_WORKSPACE,
    });
  }

  /** Returns the slots that a session holds, in ascending order. */
  slotsHeldBy(id: string): readonly number[] {
    return this.#slots_by_holder.get(id) ?? NO_SLOTS;
  }

  /** Returns the member that holds a slot; `undefined` if the slot does not
   * exist or its holder is not a member. */
  holder(slot: number): Member | undefined {
    return this.memberOf(this.slots[slot]?.holder ?? "");
  }

  /** Returns the fencing token of a slot: the generation that assigned it. */
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
