import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { APPLY_WITHIN_MS, FakeInstance } from "./testing/fake_instance.ts";
import { FakeRecordStore } from "./testing/fake_record_store.ts";

const cleanups: (() => void)[] = [];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup();
  vi.useRealTimers();
});

function writeConfiguration(
  stores: readonly FakeRecordStore[],
  version: number,
): void {
  for (const store of stores) {
    store.write("configuration", "main", { version, routes: [], services: [] });
  }
}

/** Starts instances, the first of which leads. Each sees the store through a
 * fake of its own, so that each can be cut off alone. */
async function startFleet(size: number) {
  const stores = Array.from({ length: size }, () => new FakeRecordStore());
  writeConfiguration(stores, 1);
  const instances = stores.map((store, i) => new FakeInstance(`i${i}`, store));
  instances.forEach((instance, i) => {
    instance.leads = instances.slice(0, Math.min(i, 2));
    instance.start();
  });
  cleanups.push(() => {
    for (const instance of instances) instance.close();
    for (const store of stores) store.close();
  });
  await vi.advanceTimersByTimeAsync(2000);
  return { stores, instances };
}

function makeWatchesDeaf(stores: readonly FakeRecordStore[]): void {
  for (const store of stores) store.areWatchesDeaf = true;
}

function versionsOf(instances: readonly FakeInstance[]) {
  return instances.map(({ version }) => version);
}

// No watch of the whole fleet reports the change; no peer is ahead.
test("a change that no instance heard of is in force everywhere in time", async () => {
  const { stores, instances } = await startFleet(5);
  makeWatchesDeaf(stores);
  writeConfiguration(stores, 2);
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  expect(versionsOf(instances)).toEqual([2, 2, 2, 2, 2]);
});

// The store rejects one instance, whose peers pass the change on.
test("an instance that the store turns away learns of a change in time", async () => {
  const { stores, instances } = await startFleet(4);
  makeWatchesDeaf(stores);
  const rejecting = stores[3];
  if (rejecting !== undefined) rejecting.readMode = "reject";
  writeConfiguration(stores, 2);
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  expect(versionsOf(instances)).toEqual([2, 2, 2, 2]);
});

test("without replies of the leads an instance reads the store in time", async () => {
  const { stores, instances } = await startFleet(4);
  makeWatchesDeaf(stores);
  for (const lead of instances.slice(0, 2)) lead.isSilent = true;
  writeConfiguration(stores, 2);
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  expect(versionsOf(instances.slice(2))).toEqual([2, 2]);
});

test("an instance cut off from store and lead learns from the second lead", async () => {
  const { stores, instances } = await startFleet(3);
  makeWatchesDeaf(stores);
  const [lead] = instances;
  if (lead !== undefined) lead.isSilent = true;
  const cutOff = stores[2];
  if (cutOff !== undefined) cutOff.readMode = "silent";
  writeConfiguration(stores, 2);
  await vi.advanceTimersByTimeAsync(2 * APPLY_WITHIN_MS);
  expect(versionsOf(instances)).toEqual([2, 2, 2]);
});

// The lead cannot reach the store, so its records prove nothing.
test("a lead that is behind confirms nothing", async () => {
  const { stores, instances } = await startFleet(3);
  makeWatchesDeaf(stores);
  const [leadStore] = stores;
  if (leadStore !== undefined) leadStore.readMode = "silent";
  writeConfiguration(stores, 2);
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  expect(versionsOf(instances.slice(1))).toEqual([2, 2]);
});

// Otherwise two instances that ask each other would keep each other confirmed.
test("a confirmation that is passed on keeps its age", async () => {
  const { stores, instances } = await startFleet(2);
  for (const store of stores) store.readMode = "silent";
  const [first, second] = instances;
  if (first !== undefined && second !== undefined) first.leads = [second];
  await vi.advanceTimersByTimeAsync(5000);
  for (const { view } of instances) {
    const ageMs = view.follower("configuration").ageMs(performance.now());
    expect(ageMs).toBeGreaterThan(4500);
  }
});

// A quiet fleet must not cost a call for each instance.
test("only the lead reads the store while its peers reach it", async () => {
  const { stores, instances } = await startFleet(6);
  await vi.advanceTimersByTimeAsync(1000);
  const before = stores.map(({ calls }) => calls.list);
  await vi.advanceTimersByTimeAsync(10_000);
  const lists = stores.map(({ calls }, i) => calls.list - (before[i] ?? 0));
  // Three kinds every 700 to 900 ms and one every 1,400 to 1,600 ms.
  expect(lists[0]).toBeGreaterThan(35);
  expect(lists[0]).toBeLessThan(55);
  expect(lists.slice(1)).toEqual([0, 0, 0, 0, 0]);
  for (const { view } of instances) {
    const ageMs = view.follower("configuration").ageMs(performance.now());
    expect(ageMs).toBeLessThan(1400);
  }
});

test("a process that starts amid changes gets the newest from its peers", async () => {
  const { stores, instances } = await startFleet(3);
  const store = new FakeRecordStore();
  store.readMode = "silent";
  const instance = new FakeInstance("new", store);
  instance.leads = instances.slice(0, 1);
  instance.start();
  cleanups.push(() => instance.close());
  makeWatchesDeaf(stores);
  writeConfiguration(stores, 2);
  await vi.advanceTimersByTimeAsync(300);
  writeConfiguration(stores, 3);
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  expect(instance.version).toBe(3);
});
