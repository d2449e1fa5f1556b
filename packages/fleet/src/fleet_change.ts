/** Changes of the fleet object, each a pure function of the stored one.
 *
 * @module
 */
import type { Fleet, Member, Slot } from "@banyanlb/core";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { FleetError } from "./fleet_error.ts";
import { planReassignment, type SlotMove } from "./plan.ts";

/** A change. `undefined`: the fleet is already as the change wants it. */
export type FleetChange = (
  fleet: Fleet,
) => Result<Fleet | undefined, FleetError>;

/** Table of a new fleet. */
export interface TableOptions {
  readonly regions: readonly string[];
  readonly slots_per_region: number;
}

/** A fleet of one member that holds every slot. */
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

/** Adds a member. */
export function joinChange(self: Member): FleetChange {
  return (fleet) => {
    if (fleet.members.some((member) => member.id === self.id)) {
      return ok(undefined);
    }
    return ok(nextGeneration(fleet, { members: [...fleet.members, self] }));
  };
}

/** Removes an ended member and gives its slots to live members. */
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

/** Hands over slots of `self_id`. Skips those that `to` holds already. */
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

/** Marks a member as leaving. */
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

/** Removes a member that holds no slots. */
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

/** The next generation. A slot that gets a holder gets it as its epoch. */
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

/** Live members of those asked for, else live members, else any. */
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
