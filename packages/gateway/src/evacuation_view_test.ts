import { afterEach, beforeEach, expect, test, vi } from "vitest";
import * as events from "./events.ts";
import { EVACUATED_WITHIN_MS, FakeInstance } from "./testing/fake_instance.ts";
import { FakeRecordStore } from "./testing/fake_record_store.ts";

const cleanups: (() => void)[] = [];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup();
  vi.useRealTimers();
});

/** A lead with a store of its own, and instances that ask it. */
async function startFleet(members: number) {
  const stores = Array.from(
    { length: members + 1 },
    () => new FakeRecordStore(),
  );
  const instances = stores.map((store, i) => {
    store.write("configuration", "main", {
      version: 1,
      routes: [],
      services: [],
    });
    return new FakeInstance(`i${i}`, store, {
      evacuationKnownMs: EVACUATED_WITHIN_MS,
    });
  });
  const [lead, ...others] = instances;
  const [store, ...otherStores] = stores;
  if (lead === undefined || store === undefined) throw new Error("no lead");
  for (const other of others) other.leads = [lead];
  for (const instance of instances) instance.start();
  cleanups.push(() => {
    for (const instance of instances) instance.close();
    for (const other of stores) other.close();
  });
  await vi.advanceTimersByTimeAsync(1500);
  return { lead, others, store, otherStores };
}

function isEvacuated({ view }: FakeInstance): boolean {
  return view.evacuations.isEvacuated("z");
}

test("an evacuation and its end are in force at once where the store is watched", async () => {
  const { lead, store } = await startFleet(0);
  const changes: string[] = [];
  lead.view.onEvacuationChange = ({ zone, state }) =>
    void changes.push(`${zone} ${state}`);
  store.write("evacuations", "z", {});
  await vi.advanceTimersByTimeAsync(50);
  expect(isEvacuated(lead)).toBe(true);
  store.erase("evacuations", "z");
  await vi.advanceTimersByTimeAsync(50);
  expect(isEvacuated(lead)).toBe(false);
  expect(changes).toEqual(["z begun", "z ended"]);
});

// The store turns these instances away; the lead still reads it.
test("instances that the store turns away learn it from a peer in time", async () => {
  const { lead, others, store, otherStores } = await startFleet(3);
  for (const other of otherStores) {
    other.readMode = "reject";
    other.areWatchesDeaf = true;
  }
  store.write("evacuations", "z", {});
  await vi.advanceTimersByTimeAsync(EVACUATED_WITHIN_MS * 0.7);
  expect([lead, ...others].map(isEvacuated)).toEqual([true, true, true, true]);
  store.erase("evacuations", "z");
  await vi.advanceTimersByTimeAsync(EVACUATED_WITHIN_MS * 0.7);
  expect([lead, ...others].map(isEvacuated))
    .toEqual([false, false, false, false]);
});

test("lost history: an evacuation that no watch reports is in force in time", async () => {
  const { lead, store } = await startFleet(0);
  store.areWatchesDeaf = true;
  store.write("evacuations", "z", {});
  store.compact();
  await vi.advanceTimersByTimeAsync(EVACUATED_WITHIN_MS * 0.7);
  expect(isEvacuated(lead)).toBe(true);
});

test("an evacuation stays in force while the store is away", async () => {
  const { lead, store } = await startFleet(0);
  store.write("evacuations", "z", {});
  await vi.advanceTimersByTimeAsync(50);
  store.readMode = "silent";
  void store.resetWatches();
  await vi.advanceTimersByTimeAsync(20_000);
  expect(isEvacuated(lead)).toBe(true);
});

test("a restart in the middle of an evacuation: the new process knows it before it is ready", async () => {
  const store = new FakeRecordStore();
  store.write("configuration", "main", {
    version: 1,
    routes: [],
    services: [],
  });
  store.write("evacuations", "z", {});
  const instance = new FakeInstance("a", store, {
    evacuationKnownMs: EVACUATED_WITHIN_MS,
  });
  cleanups.push(() => {
    instance.close();
    store.close();
  });
  expect(instance.view.ready).toBe(false);
  instance.start();
  while (!instance.view.ready) await vi.advanceTimersByTimeAsync(5);
  expect(isEvacuated(instance)).toBe(true);
});

test("an unknown zone is logged once with path and remedy, and harms nothing", async () => {
  const { lead, store } = await startFleet(0);
  store.write("evacuations", "nowhere", {});
  store.write("evacuations", "z", {});
  await vi.advanceTimersByTimeAsync(50);
  expect(isEvacuated(lead)).toBe(true);
  const lines = lead.logged.filter(({ event }) =>
    event === events.EVACUATION_WITHOUT_ZONE.id
  );
  expect(lines).toHaveLength(1);
  expect(lines[0]).toMatchObject({
    path: "evacuations/nowhere",
    remedy: expect.stringContaining("z"),
  });
});

test("where operators evacuate no zones, nothing is read for it", async () => {
  const store = new FakeRecordStore();
  const instance = new FakeInstance("a", store);
  expect(instance.view.evacuationFollower).toBeUndefined();
  expect(instance.records.kinds).not.toContain("evacuations");
  instance.close();
  store.close();
  await vi.advanceTimersByTimeAsync(1);
});
