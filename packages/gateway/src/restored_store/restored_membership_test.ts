import { EngineTable, MemberTable, ORDER_LEASE_MS } from "@banyanlb/serving";
import { engineOf } from "@banyanlb/serving/testing";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { Membership, type MembershipOptions } from "../membership.ts";
import { FakeRecordStore } from "../testing/fake_record_store.ts";
import {
  memberOnPort,
  membershipOptions,
} from "../testing/membership_options.ts";

const ENGINE = "e1@1";

/** Time after which an instance has settled and owns the engine, in
 * milliseconds. */
const SETTLED_MS = 6000;

/** Minimum time between the orders of two owners, in milliseconds. */
const ORDER_GAP_MS = 1000;

const STEP_MS = 50;

const cleanups: (() => void)[] = [];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup();
  vi.useRealTimers();
});

function createStore(): FakeRecordStore {
  const store = new FakeRecordStore();
  store.isWritable = true;
  cleanups.push(() => store.close());
  return store;
}

/** Writes that give out more numbers than a copy has. */
function writeMuch(store: FakeRecordStore): void {
  for (let i = 0; i < 50; i += 1) store.write("holds", "other", i);
}

function startMembership(
  store: FakeRecordStore,
  changes: Partial<MembershipOptions> = {},
): Membership {
  const engineTable = new EngineTable();
  engineTable.setEngines([engineOf(ENGINE, { id: "e1" })]);
  const members = new MemberTable("a", performance.now());
  const membership = new Membership(store, {
    ...membershipOptions(memberOnPort("a", 1), members),
    engineTable,
    orderGapMs: ORDER_GAP_MS,
    ...changes,
  });
  membership.start();
  membership.startAssignment();
  cleanups.push(() => membership.close());
  return membership;
}

/** Whether the membership may order at each moment of `ms`. */
async function ordersFor(
  membership: Membership,
  ms: number,
): Promise<readonly boolean[]> {
  const may: boolean[] = [];
  for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
    await vi.advanceTimersByTimeAsync(STEP_MS);
    may.push(membership.mayOrder(ENGINE));
  }
  return may;
}

async function storedOwner(
  store: FakeRecordStore,
): Promise<string | undefined> {
  const record = await store.get("assignment", "engines");
  const value = record?.value as Record<string, { owner: string }> | undefined;
  return value?.[ENGINE]?.owner;
}

const MEMBER_B = { ...memberOnPort("b", 2), tenure: "1", renewals: 1 };

function assign(
  store: FakeRecordStore,
  owners: Readonly<Record<string, string>>,
): void {
  store.write(
    "assignment",
    "engines",
    Object.fromEntries(
      Object.entries(owners).map((
        [key, owner],
      ) => [key, { owner, movedAt: 0 }]),
    ),
  );
}

// Guards against engines whose owner may not order for seconds, or that have no
// owner any more: its entry and the assignment are older, or gone.
test.each([["with", true], ["without", false]])(
  "an owner goes on after a restore to a copy %s its entry and assignment",
  async (_, isCopied) => {
    const store = createStore();
    if (!isCopied) store.copy();
    const membership = startMembership(store);
    await vi.advanceTimersByTimeAsync(SETTLED_MS);
    if (isCopied) store.copy();
    writeMuch(store);
    await vi.advanceTimersByTimeAsync(SETTLED_MS);
    expect(membership.mayOrder(ENGINE)).toBe(true);
    const { fence, tenure } = membership;
    store.restore();
    expect(await ordersFor(membership, 3 * ORDER_LEASE_MS))
      .not.toContain(false);
    expect(membership.tenure).toBe(tenure);
    expect(membership.fence).toBeGreaterThan(fence);
    expect(await store.get("members", "a")).toMatchObject({
      value: { tenure },
    });
    expect(await storedOwner(store)).toBe(`a#${tenure}`);
  },
);

// Guards against two instances that order at one engine: the assignment names the
// owner of before a move again, and the one that had the engine since may not
// have heard of it.
test("an owner whose engine comes back waits for the lease of the one between", async () => {
  const store = createStore();
  store.write("members", "b", MEMBER_B);
  const membership = startMembership(store);
  await vi.advanceTimersByTimeAsync(SETTLED_MS);
  expect(membership.mayOrder(ENGINE)).toBe(true);
  store.copy();
  store.write("assignment", "engines", {
    [ENGINE]: { owner: "b#1", movedAt: Date.now() },
  });
  writeMuch(store);
  await vi.advanceTimersByTimeAsync(1000);
  expect(membership.ownerOf(ENGINE)).toBe("b");
  store.restore();
  const may = await ordersFor(membership, ORDER_LEASE_MS + ORDER_GAP_MS);
  expect(membership.ownerOf(ENGINE)).toBe("a");
  expect(may).not.toContain(true);
  expect(await ordersFor(membership, 2000)).toContain(true);
});

// Guards against an owner that was cut off for longer than its lease, lost its
// engines in the time that the store has lost, and is named by the copy.
test("an owner without its lease owns nothing after a restore", async () => {
  const store = createStore();
  const membership = startMembership(store);
  await vi.advanceTimersByTimeAsync(SETTLED_MS);
  const { tenure } = membership;
  store.copy();
  writeMuch(store);
  store.isWritable = false;
  await vi.advanceTimersByTimeAsync(ORDER_LEASE_MS);
  expect(membership.holdsLease).toBe(false);
  store.restore();
  store.isWritable = true;
  const may = await ordersFor(membership, ORDER_GAP_MS);
  expect(may).not.toContain(true);
  expect(membership.tenure).not.toBe(tenure);
});

// Guards against engines that are taken from an owner whose entry the store has
// lost, while it still holds its lease.
test("an owner that a restored store does not list keeps its engines for a lease", async () => {
  const store = createStore();
  assign(store, { [ENGINE]: "b#1" });
  store.copy();
  store.write("members", "b", MEMBER_B);
  writeMuch(store);
  const membership = startMembership(store);
  await vi.advanceTimersByTimeAsync(SETTLED_MS);
  expect(membership.ownerOf(ENGINE)).toBe("b");
  store.restore();
  await vi.advanceTimersByTimeAsync(ORDER_LEASE_MS - 500);
  expect(await storedOwner(store)).toBe("b#1");
  await vi.advanceTimersByTimeAsync(2000);
  expect(await storedOwner(store)).toBe(`a#${membership.tenure}`);
});

// Guards against a store that rejects the first writing after the restore: the
// copy's entry must not give its older tenure back.
test("a renewal that fails again keeps the tenure of this instance", async () => {
  const store = createStore();
  const membership = startMembership(store);
  await vi.advanceTimersByTimeAsync(SETTLED_MS);
  const { tenure } = membership;
  store.write("members", "a", {
    ...memberOnPort("a", 1),
    tenure: "older",
    renewals: 1,
  });
  store.copy();
  writeMuch(store);
  store.restore();
  store.isWritable = false;
  await vi.advanceTimersByTimeAsync(2500);
  store.isWritable = true;
  await vi.advanceTimersByTimeAsync(2500);
  expect(membership.tenure).toBe(tenure);
  expect(await store.get("members", "a")).toMatchObject({ value: { tenure } });
});

// Guards against two instances that order at one engine: the copy is from before
// the engine was assigned, or started again, so it seems to have had no owner.
test.each([["lacks", "e0@1", "b#1"], ["holds a former start of", "e1@0", "a"]])(
  "an engine is not ordered to at once if the copy %s it",
  async (_, key, owner) => {
    const store = createStore();
    store.write("members", "b", MEMBER_B);
    const membership = startMembership(store);
    await vi.advanceTimersByTimeAsync(SETTLED_MS);
    const copied = owner === "a" ? `a#${membership.tenure}` : owner;
    assign(store, { [key]: copied });
    store.copy();
    assign(store, { [key]: copied, [ENGINE]: "b#1" });
    writeMuch(store);
    await vi.advanceTimersByTimeAsync(1000);
    expect(membership.ownerOf(ENGINE)).toBe("b");
    store.restore();
    const may = await ordersFor(membership, ORDER_LEASE_MS + ORDER_GAP_MS);
    expect(may).not.toContain(true);
    expect(await ordersFor(membership, SETTLED_MS)).toContain(true);
  },
);

// Guards against an owner that renews its lease in the new era, but does not hear
// that the restored store names another owner.
test("an owner that cannot read the assignment stops with its former lease", async () => {
  const store = createStore();
  let renewals = 1;
  const renew = () =>
    store.write("members", "0", {
      ...memberOnPort("0", 2),
      tenure: "1",
      renewals: renewals++,
    });
  renew();
  const timer = setInterval(renew, 2000);
  cleanups.push(() => clearInterval(timer));
  const membership = startMembership(store);
  await vi.advanceTimersByTimeAsync(SETTLED_MS);
  assign(store, { [ENGINE]: "0#1" });
  store.copy();
  assign(store, { [ENGINE]: `a#${membership.tenure}` });
  writeMuch(store);
  await vi.advanceTimersByTimeAsync(8000);
  expect(membership.mayOrder(ENGINE)).toBe(true);
  store.readMode = "reject";
  store.restore();
  await vi.advanceTimersByTimeAsync(ORDER_LEASE_MS);
  expect(membership.holdsLease).toBe(true);
  expect(await ordersFor(membership, 5000)).not.toContain(true);
});

// Guards against a process that starts after the restore, is named by the copy,
// and orders while the owner between still does.
test("a process that starts after a restore waits for the owner between", async () => {
  const store = createStore();
  store.write("members", "a", {
    ...memberOnPort("a", 1),
    tenure: "1",
    renewals: 1,
  });
  store.write("members", "b", MEMBER_B);
  assign(store, { [ENGINE]: "a#1" });
  store.copy();
  assign(store, { [ENGINE]: "b#1" });
  writeMuch(store);
  store.restore();
  const membership = startMembership(store);
  const waitMs = ORDER_LEASE_MS + ORDER_GAP_MS;
  const may = await ordersFor(membership, waitMs - STEP_MS);
  expect(may).not.toContain(true);
  expect(await ordersFor(membership, 1000)).toContain(true);
});

// Guards against a wait at each start, once the store has been restored: the other
// members' entries tell how long ago that was.
test("a process that starts long after a restore orders at once", async () => {
  const store = createStore();
  store.copy();
  store.restore();
  store.write("members", "a", {
    ...memberOnPort("a", 1),
    tenure: "1",
    renewals: 1,
  });
  store.write("members", "b", {
    ...MEMBER_B,
    restore: { era: 2, at: Date.now() - 60_000 },
  });
  assign(store, { [ENGINE]: "a#1" });
  const membership = startMembership(store);
  expect(await ordersFor(membership, 1000)).toContain(true);
  await vi.advanceTimersByTimeAsync(2000);
  expect(await store.get("members", "a")).toMatchObject({
    value: { restore: { era: 2 } },
  });
});

// Guards against a workspace that gets more than its limit: all instances were
// lost after a restore, and adopted the use in entries that were older.
test("use that an entry of a copy tells is not taken for all that was used", async () => {
  const store = createStore();
  const entry = {
    ...memberOnPort("a", 1),
    incarnation: "former",
    tenure: "1",
    renewals: 1,
    use: { w: [5, 5] },
    useAt: Date.now(),
  };
  store.write("members", "a", entry);
  store.copy();
  store.restore();
  const adopted: unknown[] = [];
  const rates = {
    useAt: () => ({}),
    isNearlyUsed: () => false,
    adoptFormerUse: (use: unknown) => adopted.push(use),
  };
  startMembership(store, { rates }).close();
  await vi.advanceTimersByTimeAsync(1000);
  expect(adopted).toEqual([]);
  // Written in the era of the store.
  store.write("members", "a", {
    ...entry,
    restore: { era: 2, at: Date.now() },
  });
  startMembership(store, { rates });
  await vi.advanceTimersByTimeAsync(1000);
  expect(adopted).toEqual([entry.use]);
});
