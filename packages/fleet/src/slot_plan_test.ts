import type { Fleet, Member, Slot } from "@banyanlb/core";
import { expect, test } from "vitest";
import { FleetView } from "./fleet_view.ts";
import { planIdealHolders, planMoves } from "./slot_plan.ts";

const REGIONS = ["r0", "r1", "r2", "r3", "r4"];

function createMembers(count: number): Member[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `m${i}`,
    instance: `i${i}`,
    peer_url: "ws://127.0.0.1:1",
    caller_url: "http://127.0.0.1:1",
    region: REGIONS[i % REGIONS.length] ?? "",
    failure_domain: `d${i % 11}`,
    state: "live" as const,
  }));
}

function createFleet(members: readonly Member[], holders?: readonly string[]) {
  const slots = Array.from({ length: 1_750 }, (_, i): Slot => ({
    region: REGIONS[Math.floor(i / 350)] ?? "",
    holder: holders?.[i] ?? "m0",
    epoch: 1,
  }));
  return { generation: 1, write_id: "w", members, slots } satisfies Fleet;
}

function countHeld(holders: readonly string[], members: readonly Member[]) {
  return members.map((m) => holders.filter((id) => id === m.id).length);
}

test("the ideal assignment is even in each region and stable", () => {
  const members = createMembers(350);
  const ideal = planIdealHolders(createFleet(members));
  expect(new Set(countHeld(ideal, members))).toEqual(new Set([5]));
  const again = createFleet(members, ideal);
  expect(planIdealHolders(again)).toEqual(ideal);
  for (const [i, slot] of again.slots.entries()) {
    const holder = members.find((member) => member.id === ideal[i]);
    expect(holder?.region).toBe(slot.region);
  }
});

test("a join or a loss moves few slots; each holder plans moves of its own slots", () => {
  const members = createMembers(350);
  const ideal = planIdealHolders(createFleet(members));
  const joined = [...members, { ...createMembers(1)[0]!, id: "new" }];
  const view = new FleetView(createFleet(joined, ideal));
  const moves = joined.flatMap((m) => planMoves(view, m.id));
  // 350 slots over 71 members: the new member gets four.
  expect(moves.map((move) => move.to)).toEqual(["new", "new", "new", "new"]);
  const lost = createFleet(members.slice(1), ideal);
  const after = planIdealHolders(lost);
  expect(after.filter((id, i) => id !== ideal[i])).toHaveLength(5);
  expect(Math.max(...countHeld(after, lost.members))).toBe(6);
});

test("slots of a region without live members go to members of other regions", () => {
  const members = createMembers(3);
  const ideal = planIdealHolders(createFleet(members));
  expect(countHeld(ideal, members).every((n) => n >= 582 && n <= 586))
    .toBe(true);
});

test("the share slots of a workspace are distinct and evenly spread", () => {
  const view = new FleetView(createFleet(createMembers(9)));
  const counts = new Map<number, number>();
  for (let i = 0; i < 5_000; i++) {
    const shares = view.shareSlots(`workspace-${i}`);
    expect(new Set(shares).size).toBe(3);
    for (const s of shares) counts.set(s, (counts.get(s) ?? 0) + 1);
  }
  expect(counts.size).toBeGreaterThan(1_700);
  expect(Math.max(...counts.values())).toBeLessThan(30);
});
