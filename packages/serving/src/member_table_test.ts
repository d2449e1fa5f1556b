import { expect, test } from "vitest";
import { MemberTable, UNRESPONSIVE_AFTER_MS } from "./member_table.ts";
import { hearOf } from "./testing/hear_of.ts";
import type { Member } from "./types.ts";

function member(name: string, zone: string, region: string): Member {
  return {
    name,
    zone,
    region,
    peerAddress: `${name}:1`,
    callerAddress: `${name}:2`,
    incarnation: "i",
    cores: 1,
  };
}

const all = [
  member("a1", "a", "north"),
  member("a2", "a", "north"),
  member("b1", "b", "north"),
  member("c1", "c", "south"),
];
test("a lost instance is not listed as ready once it is unresponsive", () => {
  const table = new MemberTable("self", -10_000);
  table.setMembers(all, 0);
  for (const m of all) hearOf(table, m.name, { now: 0 });
  expect(table.ready(UNRESPONSIVE_AFTER_MS - 1)).toHaveLength(4);
  hearOf(table, "a1", { now: UNRESPONSIVE_AFTER_MS });
  expect(table.ready(UNRESPONSIVE_AFTER_MS).map((m) => m.name)).toEqual(["a1"]);
});

test("instances that are leaving or not ready are not listed", () => {
  const table = new MemberTable("self", -10_000);
  table.setMembers(all, 0);
  hearOf(table, "a1", { now: 0, leaving: true });
  hearOf(table, "a2", { now: 0, ready: false });
  expect(table.ready(1)).toEqual([]);
});

test("an instance that is not in the store's list stays in the table while it is alive", () => {
  const table = new MemberTable("self", -10_000);
  table.add(member("new", "a", "north"));
  hearOf(table, "new", { now: 0 });
  table.setMembers(all, 100);
  expect(table.get("new")).toBeDefined();
  table.setMembers(all, UNRESPONSIVE_AFTER_MS + 1);
  expect(table.get("new")).toBeUndefined();
});

test("uneven machines: those that callers use share the common limits", () => {
  const table = new MemberTable("self", -10_000);
  table.setMembers(all, 0);
  for (const m of all) hearOf(table, m.name, { now: 0, serves: false });
  expect(table.sharingCount(1)).toBe(3);
  for (const m of all) hearOf(table, m.name, { now: 0 });
  expect(table.sharingCount(1)).toBe(5);
});

test("restart of all: peers without digests do not count as unresponsive at first", () => {
  const table = new MemberTable("self", 0);
  table.setMembers(all, 0);
  expect(table.silentShare(500)).toBe(0);
  hearOf(table, "a1", { now: 200 });
  expect(table.silentShare(1450)).toBeCloseTo(1 / 5);
  expect(table.silentShare(2000)).toBeCloseTo(4 / 5);
});

test("an instance with a longer digest interval counts as alive for longer", () => {
  const table = new MemberTable("self", -10_000);
  table.setMembers(all, 0);
  hearOf(table, "a1", { now: 0, digestIntervalMs: 600 });
  hearOf(table, "a2", { now: 0 });
  expect(table.isAlive("a2", UNRESPONSIVE_AFTER_MS)).toBe(false);
  expect(table.isAlive("a1", UNRESPONSIVE_AFTER_MS)).toBe(true);
  expect(table.isAlive("a1", 1500)).toBe(false);
});
