import { EngineTable, MemberTable, OWNER_CUT_MS } from "@banyanlb/serving";
import { engineOf, hearOf } from "@banyanlb/serving/testing";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { Membership } from "../membership.ts";
import { FakeRecordStore } from "../testing/fake_record_store.ts";
import {
  memberOnPort,
  membershipOptions,
} from "../testing/membership_options.ts";
import { OwnOrderPath } from "./own_order_path.ts";

const ENGINES = ["e1@1", "e2@1", "e3@1", "e4@1"];
const ORDER_GAP_MS = 1000;
const STEP_MS = 100;

beforeEach(() => void vi.useFakeTimers());
const cleanups: (() => void)[] = [];
afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup();
  vi.useRealTimers();
});

class Instance {
  readonly name: string;
  readonly members: MemberTable;
  readonly ownPath: OwnOrderPath;
  readonly membership: Membership;
  hasPath = true;
  isHeard = true;
  assignmentAgeMs = 0;

  constructor(store: FakeRecordStore, name: string) {
    this.name = name;
    const engineTable = new EngineTable();
    engineTable.setEngines(ENGINES.map((key) => engineOf(key)));
    this.members = new MemberTable(name, performance.now());
    this.ownPath = new OwnOrderPath(name, {
      members: this.members,
      orderGapMs: ORDER_GAP_MS,
      assignmentAgeMs: () => this.assignmentAgeMs,
    });
    this.membership = new Membership(store, {
      ...membershipOptions(memberOnPort(name, 1), this.members),
      orderGapMs: ORDER_GAP_MS,
      engineTable,
      ownPath: this.ownPath,
    });
    this.membership.start();
    this.membership.startAssignment();
    cleanups.push(() => this.membership.close());
  }

  get orderable(): readonly string[] {
    return ENGINES.filter((key) => this.membership.mayOrder(key));
  }
}

/** Three instances that own engines. */
async function startFleet() {
  const store = new FakeRecordStore();
  store.isWritable = true;
  cleanups.push(() => store.close());
  const fleet = ["a", "b", "c"].map((name) => new Instance(store, name));
  const pass = async (ms: number, check: () => void = () => undefined) => {
    for (let t = 0; t < ms; t += STEP_MS) {
      const now = performance.now();
      for (const to of fleet) {
        to.ownPath.record(to.hasPath, now);
        for (const { name, hasPath, isHeard, membership } of fleet) {
          if (name === to.name || !isHeard) continue;
          to.members.add(memberOnPort(name, 1));
          const { tenure } = membership;
          hearOf(to.members, name, { now, tenure, ordersCut: !hasPath });
        }
      }
      await vi.advanceTimersByTimeAsync(STEP_MS);
      check();
    }
  };
  await pass(9000);
  return { fleet, pass, store };
}

// Guards against engines that get no loads, since their owner, which is alive and
// keeps its lease, has no path to them.
test("engines of an owner without a path get one that reaches them", async () => {
  const { fleet, pass } = await startFleet();
  const all = () => fleet.flatMap(({ orderable }) => orderable).sort();
  expect(all()).toEqual(ENGINES);
  const cut = fleet.find(({ orderable }) => orderable.length > 0);
  if (cut === undefined) throw new Error("no owner");
  const lost = cut.orderable;
  cut.hasPath = false;
  const lastOrderAt = performance.now();
  const firstOrderAt = new Map<string, number>();
  await pass(4000, () => {
    expect(cut.orderable).toEqual([]);
    for (const { orderable } of fleet) {
      for (const key of orderable) {
        if (!lost.includes(key) || firstOrderAt.has(key)) continue;
        firstOrderAt.set(key, performance.now());
      }
    }
  });
  expect([...firstOrderAt.keys()].sort()).toEqual(lost);
  for (const at of firstOrderAt.values()) {
    // An order of before may arrive until the other owner was named.
    expect(at - lastOrderAt).toBeGreaterThanOrEqual(
      OWNER_CUT_MS + ORDER_GAP_MS,
    );
    expect(at - lastOrderAt).toBeLessThanOrEqual(2500);
  }
  // Nothing moves back.
  cut.hasPath = true;
  await pass(6000, () => expect(cut.orderable).toEqual([]));
  expect(all()).toEqual(ENGINES);
});

// Guards against owners that take turns after engines were lost for all.
test("no engine moves while no instance has a path", async () => {
  const { fleet, pass } = await startFleet();
  const before = fleet.map(({ orderable }) => orderable);
  for (const instance of fleet) instance.hasPath = false;
  await pass(3000);
  for (const instance of fleet) {
    instance.hasPath = true;
    await pass(700);
  }
  await pass(3000);
  expect(fleet.map(({ orderable }) => orderable)).toEqual(before);
});

// Guards against an owner that orders although another one has been named.
test("an owner whose path is back waits until it would have heard of another", async () => {
  const { fleet, pass } = await startFleet();
  const cut = fleet.find(({ orderable }) => orderable.length > 0);
  if (cut === undefined) throw new Error("no owner");
  cut.hasPath = false;
  await pass(600);
  cut.hasPath = true;
  await pass(STEP_MS);
  await pass(ORDER_GAP_MS - 2 * STEP_MS, () => {
    expect(cut.orderable).toEqual([]);
  });
});

// Guards against two owners: one is named by what the other reported before it fell
// silent and its path came back.
test.each([200, 500, 900])(
  "owners take no turns if one is silent %i ms after it lost its path",
  async (silentAfterMs) => {
    const { fleet, pass } = await startFleet();
    const cut = fleet.find(({ name, orderable }) =>
      name !== "a" && orderable.length > 0
    );
    if (cut === undefined) throw new Error("no owner");
    cut.hasPath = false;
    await pass(silentAfterMs);
    cut.isHeard = false;
    cut.hasPath = true;
    const lastOrders = new Map<string, { name: string; at: number }>();
    await pass(9000, () => {
      const at = performance.now();
      for (const { name, orderable } of fleet) {
        for (const key of orderable) {
          const last = lastOrders.get(key);
          if (last !== undefined && last.name !== name) {
            expect(at - last.at).toBeGreaterThanOrEqual(ORDER_GAP_MS);
          }
          lastOrders.set(key, { name, at });
        }
      }
    });
    expect([...lastOrders.keys()].sort()).toEqual(ENGINES);
  },
);

test("an owner whose path is back orders nothing before its ownership is confirmed", async () => {
  const { fleet, pass, store } = await startFleet();
  const cut = fleet.find(({ orderable }) => orderable.length > 0);
  if (cut === undefined) throw new Error("no owner");
  const own = cut.orderable;
  // No other owner can be named meanwhile.
  store.isWritable = false;
  cut.hasPath = false;
  await pass(600);
  cut.hasPath = true;
  cut.assignmentAgeMs = 60_000;
  await pass(3000, () => expect(cut.orderable).toEqual([]));
  cut.assignmentAgeMs = 0;
  expect(cut.orderable).toEqual(own);
});
