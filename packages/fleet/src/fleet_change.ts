/** Changes of the fleet, each a function from the stored fleet to the next
 * one.
 *
 * @module
 */
import type { Fleet, Member, Slot } from "@banyanlb/core";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { FleetError } from "./fleet_error.ts";
import { planReassignment, type SlotMove } from "./slot_plan.ts";

/** A change. Returns `undefined` if the fleet is already in the desired
 * state. */
export type FleetChange = (
  fleet: Fleet,
) => Result<Fleet | undefined, FleetError>;

/** Slot table of a new fleet. */
export interface TableOptions {
  readonly regions: readonly string[];
  readonly slots_per_region: number;
}

/** Creates a fleet of one member that holds every slot. */
export function createFleet(self: Member, table: TableOptions): Fleet {
  const slots = table.regions.flatMap((region) =>
    Array.from({ length: table.slots_per_region }, (): Slot => ({
      region,
      holder: self.id,
      epoch: 1,
    }))
  );
  return { generation: 1, write_id: randomUUID(), members: [self], slots };
}

/** Returns the change that adds a member. */
export function joinChange(self: Member): FleetChange {
  return (fleet) => {
    if (fleet.members.some((member) => member.id === self.id)) {
      return ok(undefined);
    }
    return ok(nextGeneration(fleet, { members: [...fleet.members, self] }));
  };
}

/** Returns the change that removes a member whose session has ended and assigns
 * its slots to other members. Error: `no_heir` if no other member exists. */
export function removeChange(
  ended_id: string,
  recipient_ids: readonly string[] | undefined,
): FleetChange {
  return (fleet) => {
    const members = fleet.members.filter((member) => member.id !== ended_id);
    const orphaned = fleet.slots.some((slot) => slot.holder === ended_id);
    const is_member = members.length < fleet.members.length;
    if (!is_member && !orphaned) return ok(undefined);
    const recipients = chooseRecipients(members, recipient_ids);
    if (orphaned && recipients.length === 0) return err(noRecipient(ended_id));
    const moves = planReassignment(fleet, ended_id, recipients);
    return ok(nextGeneration(fleet, { members, moves }));
  };
}

/** Returns the change that hands over slots held by `self_id`. Moves to a
 * member that already holds the slot are skipped. Errors: `not_held`,
 * `unknown_member`. */
export function moveChange(
  self_id: string,
  moves: readonly SlotMove[],
): FleetChange {
  return (fleet) => {
    const member_ids = new Set(fleet.members.map((member) => member.id));
    const pending = moves.filter(({ slot, to }) =>
      fleet.slots[slot]?.holder !== to
    );
    for (const { slot, to } of pending) {
      if (fleet.slots[slot]?.holder !== self_id) return err(notHeld(slot));
      if (!member_ids.has(to)) return err(unknownMember(to));
    }
    return ok(
      pending.length === 0
        ? undefined
        : nextGeneration(fleet, { moves: pending }),
    );
  };
}

/** Returns the change that marks a member as leaving. Error:
 * `unknown_member`. */
export function markLeavingChange(self_id: string): FleetChange {
  return (fleet) => {
    const self = fleet.members.find((member) => member.id === self_id);
    if (self === undefined) return err(unknownMember(self_id));
    if (self.state === "leaving") return ok(undefined);
    const members = fleet.members.map((member): Member =>
      member.id === self_id ? { ...member, state: "leaving" } : member
    );
    return ok(nextGeneration(fleet, { members }));
  };
}

/** Returns the change that removes a member that holds no slots. Error:
 * `slots_held`. */
export function leaveChange(self_id: string): FleetChange {
  return (fleet) => {
    const held_count =
      fleet.slots.filter((slot) => slot.holder === self_id).length;
    if (held_count > 0) return err(slotsHeld(held_count));
    const members = fleet.members.filter((member) => member.id !== self_id);
    if (members.length === fleet.members.length) return ok(undefined);
    return ok(nextGeneration(fleet, { members }));
  };
}

interface FleetUpdate {
  readonly members?: readonly Member[];
  readonly moves?: readonly SlotMove[];
}

/** Creates the next generation of the fleet. The new generation becomes the
 * epoch of each moved slot. */
function nextGeneration(fleet: Fleet, update: FleetUpdate): Fleet {
  const generation = fleet.generation + 1;
  const slots = [...fleet.slots];
  for (const { slot, to } of update.moves ?? []) {
    const before = slots[slot];
    if (before === undefined) continue;
    slots[slot] = { region: before.region, holder: to, epoch: generation };
  }
  const members = update.members ?? fleet.members;
  return { generation, write_id: randomUUID(), members, slots };
}

/** Returns the live members among `ids`, or all live members if there are none,
 * or all members if none is live. */
function chooseRecipients(
  members: readonly Member[],
  ids: readonly string[] | undefined,
): readonly Member[] {
  const live = members.filter((member) => member.state === "live");
  const requested = live.filter((member) => ids?.includes(member.id));
  if (requested.length > 0) return requested;
  return live.length > 0 ? live : members;
}

function noRecipient(ended_id: string): FleetError {
  return {
    kind: "no_heir",
    message: `no member can take the slots of ${ended_id}; join first`,
  };
}

function notHeld(slot: number): FleetError {
  return {
    kind: "not_held",
    message: `slot ${slot} is not held by this member; plan the moves again`,
  };
}

function unknownMember(id: string): FleetError {
  return {
    kind: "unknown_member",
    message: `${id} is no member; plan again on the current view`,
  };
}

function slotsHeld(held_count: number): FleetError {
  return {
    kind: "slots_held",
    message: `${held_count} slots are still held; move them first`,
  };
}
