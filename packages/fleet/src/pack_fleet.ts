/** Conversion of the fleet to and from its stored format.
 *
 * @module
 */
import {
  createValidator,
  type Fleet,
  invariant,
  type Member,
  type Slot,
} from "@banyanlb/core";
import { err, ok, type Result } from "neverthrow";
import {
  packed_fleet_schema,
  type PackedFleet,
  type PackedMember,
  type PackedSlots,
} from "./generated/packed_fleet.ts";

const validatePacked = createValidator<PackedFleet>(packed_fleet_schema);

/** Packs a fleet for the store. Every holder must be a member.
 *
 * @example
 * ```ts
 * unpackFleet(packFleet(fleet))._unsafeUnwrap(); // equals fleet
 * ```
 */
export function packFleet(fleet: Fleet): PackedFleet {
  const { generation, write_id, members } = fleet;
  const indexes = new Map(members.map((member, i) => [member.id, i]));
  const s = groupRuns(fleet.slots).map((run): PackedSlots => ({
    r: run[0]?.region ?? "",
    h: run.map((slot) => indexOf(indexes, slot.holder)),
    e: run.map((slot) => generation - slot.epoch),
  }));
  return { v: 1, g: generation, w: write_id, m: members.map(packMember), s };
}

/** Validates and unpacks a stored fleet. The error names the path and the
 * problem. */
export function unpackFleet(value: unknown): Result<Fleet, string> {
  return validatePacked(value)
    .mapErr(([first]) => `${first?.path}: ${first?.message}`)
    .andThen(unpackValidated);
}

function unpackValidated(packed: PackedFleet): Result<Fleet, string> {
  const members = packed.m.map(unpackMember);
  const slots: Slot[] = [];
  for (const { r, h, e } of packed.s) {
    for (const [i, index] of h.entries()) {
      const [holder, age] = [members[index], e[i]];
      if (holder === undefined || age === undefined) {
        return err(`/s: slot ${slots.length} has no holder or no epoch`);
      }
      slots.push({ region: r, holder: holder.id, epoch: packed.g - age });
    }
  }
  return ok({ generation: packed.g, write_id: packed.w, members, slots });
}

function indexOf(indexes: ReadonlyMap<string, number>, id: string): number {
  const index = indexes.get(id);
  invariant(index !== undefined, {
    code: 300,
    message: "the holder of a slot is no member",
  });
  return index;
}

/** Splits the slot table into runs of consecutive slots of one region. */
function groupRuns(slots: readonly Slot[]): readonly (readonly Slot[])[] {
  const runs: Slot[][] = [];
  for (const slot of slots) {
    const run = runs.at(-1);
    if (run?.[0]?.region === slot.region) run.push(slot);
    else runs.push([slot]);
  }
  return runs;
}

function packMember(member: Member): PackedMember {
  const packed = {
    i: member.id,
    n: member.instance,
    p: member.peer_url,
    c: member.caller_url,
    r: member.region,
    d: member.failure_domain,
  };
  return member.state === "leaving" ? { ...packed, l: 1 } : packed;
}

function unpackMember(packed: PackedMember): Member {
  return {
    id: packed.i,
    instance: packed.n,
    peer_url: packed.p,
    caller_url: packed.c,
    region: packed.r,
    failure_domain: packed.d,
    state: packed.l === 1 ? "leaving" : "live",
  };
}
