import { storeRevision } from "@banyanlb/serving";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import * as events from "../events.ts";
import {
  APPLY_WITHIN_MS,
  EVACUATED_WITHIN_MS,
  FakeInstance,
} from "../testing/fake_instance.ts";
import { FakeRecordStore } from "../testing/fake_record_store.ts";
import { writeConfiguration, writeEngine } from "../testing/write_records.ts";

/** Time within which the entry of an engine that is alive is back after a
 * restore, in milliseconds. */
const ENTRY_BACK_MS = 2000;

const cleanups: (() => void)[] = [];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup();
  vi.useRealTimers();
});

/** Writes that give out more numbers than a copy has. */
function writeMuch(store: FakeRecordStore): void {
  for (let i = 0; i < 50; i += 1) store.write("holds", "other", i);
}

function start(name: string, store: FakeRecordStore): FakeInstance {
  const instance = new FakeInstance(name, store);
  instance.start();
  cleanups.push(() => {
    instance.close();
    store.close();
  });
  return instance;
}

async function startInstance() {
  const store = new FakeRecordStore();
  writeConfiguration(store, 12);
  writeEngine(store, "e1");
  writeEngine(store, "e2");
  const instance = start("a", store);
  await vi.advanceTimersByTimeAsync(1500);
  expect(instance.version).toBe(12);
  return { store, instance };
}

function enginesOf(instance: FakeInstance): readonly string[] {
  return [...instance.view.engines].map(({ id, leaving }) =>
    leaving ? `${id} leaving` : id
  ).toSorted();
}

// Guards against a withdrawn key that works again, or a removed route that is
// back, while the operator has yet to write the configuration again.
test("an older configuration of a restored store is not followed", async () => {
  const { store, instance } = await startInstance();
  store.copy();
  writeConfiguration(store, 14);
  writeMuch(store);
  await vi.advanceTimersByTimeAsync(1500);
  store.restore();
  await vi.advanceTimersByTimeAsync(20_000);
  expect(instance.version).toBe(14);
  expect(instance.logged.map(({ event }) => event))
    .not.toContain(events.LIST_REFUSED.id);
  writeConfiguration(store, 14);
  writeConfiguration(store, 15);
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  expect(instance.version).toBe(15);
});

// Guards against requests to an engine that has said that it leaves, or that has
// left, since the restored store does not know it.
test("engines that leave or have left stay so in a restored store", async () => {
  const { store, instance } = await startInstance();
  store.copy();
  writeEngine(store, "e1", { state: "draining" });
  store.erase("engines", "e2");
  writeMuch(store);
  await vi.advanceTimersByTimeAsync(1500);
  expect(enginesOf(instance)).toEqual(["e1 leaving"]);
  store.restore();
  await vi.advanceTimersByTimeAsync(ENTRY_BACK_MS);
  expect(enginesOf(instance)).toEqual(["e1 leaving"]);
  // The entry of an engine that is gone expires.
  store.erase("engines", "e2");
  writeEngine(store, "e1", { state: "draining", seq: 4 });
  await vi.advanceTimersByTimeAsync(10_000);
  expect(enginesOf(instance)).toEqual(["e1 leaving"]);
});

test("an engine that starts again in a restored store is used", async () => {
  const { store, instance } = await startInstance();
  store.copy();
  writeEngine(store, "e1", { state: "draining" });
  store.erase("engines", "e2");
  writeMuch(store);
  await vi.advanceTimersByTimeAsync(1500);
  store.restore();
  await vi.advanceTimersByTimeAsync(500);
  writeEngine(store, "e1", { born: 2, seq: 0 });
  writeEngine(store, "e2", { born: 2, seq: 0 });
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  expect(enginesOf(instance)).toEqual(["e1", "e2"]);
});

// Guards against engines that are dropped because the copy is older than they
// are.
test("an engine that a restored store lacks is used until it must be back", async () => {
  const { store, instance } = await startInstance();
  const used = () =>
    [...instance.engineTable.all()].map(({ engine }) => engine.id);
  store.copy();
  writeEngine(store, "e3");
  writeMuch(store);
  await vi.advanceTimersByTimeAsync(1500);
  expect(used()).toContain("e3");
  store.restore();
  for (let passedMs = 0; passedMs < ENTRY_BACK_MS; passedMs += 100) {
    await vi.advanceTimersByTimeAsync(100);
    instance.view.dropMissingEngines(performance.now());
    expect(used()).toContain("e3");
  }
  await vi.advanceTimersByTimeAsync(1500);
  instance.view.dropMissingEngines(performance.now());
  expect(used()).not.toContain("e3");
});

// Guards against requests on a version that was replaced.
test("a version that the store has lost is still the newest", async () => {
  const { store, instance } = await startInstance();
  const announce = (version: number) =>
    store.write("versions", "m.a", { model: "m", adapter: "a", version });
  announce(1);
  store.copy();
  announce(2);
  writeMuch(store);
  await vi.advanceTimersByTimeAsync(1500);
  store.restore();
  const peer = start("b", store);
  peer.leads = [instance];
  await vi.advanceTimersByTimeAsync(20_000);
  expect(instance.view.versionOf("m", "a")).toBe(2);
  // One that has only read the copy learns it.
  expect(peer.view.versionOf("m", "a")).toBe(2);
});

// Guards against a list of the former era that arrives after one of the new.
test("a late list of the former era changes nothing", async () => {
  const { store, instance } = await startInstance();
  store.copy();
  writeConfiguration(store, 14);
  writeMuch(store);
  await vi.advanceTimersByTimeAsync(1500);
  store.listDelayMs = 400;
  const late = instance.view.follower("engines").confirm();
  store.restore();
  store.listDelayMs = 0;
  writeEngine(store, "e1", { state: "draining", seq: 4 });
  await vi.advanceTimersByTimeAsync(300);
  expect(enginesOf(instance)).toEqual(["e1 leaving", "e2"]);
  await Promise.all([late, vi.advanceTimersByTimeAsync(2000)]);
  expect(enginesOf(instance)).toEqual(["e1 leaving", "e2"]);
});

/** Two instances with a store each, the second of which asks the first. */
async function startPair() {
  const stores = [new FakeRecordStore(), new FakeRecordStore()] as const;
  for (const store of stores) {
    writeConfiguration(store, 12);
    store.copy();
    writeConfiguration(store, 14);
    writeMuch(store);
  }
  const [near, far] = stores;
  const lead = start("a", near);
  const peer = start("b", far);
  peer.leads = [lead];
  await vi.advanceTimersByTimeAsync(1500);
  expect([lead.version, peer.version]).toEqual([14, 14]);
  return { near, far, lead, peer };
}

// Guards against an instance that is cut off from the store over the whole of the
// restore, and takes its peers for old.
test("an instance hears of a new era from a peer only", async () => {
  const { near, far, lead, peer } = await startPair();
  far.readMode = "silent";
  far.areWatchesDeaf = true;
  near.restore();
  writeConfiguration(near, 16);
  expect(near.revision).toBeGreaterThan(storeRevision(2, 0));
  await vi.advanceTimersByTimeAsync(2 * APPLY_WITHIN_MS);
  expect([lead.version, peer.version]).toEqual([16, 16]);
});

// Guards against a peer that has not heard of the new era and undoes what is known
// of it.
test("a peer of the former era changes nothing", async () => {
  const { near, far, lead, peer } = await startPair();
  near.readMode = "silent";
  near.areWatchesDeaf = true;
  far.restore();
  writeConfiguration(far, 16);
  await vi.advanceTimersByTimeAsync(2 * APPLY_WITHIN_MS);
  expect([lead.version, peer.version]).toEqual([14, 16]);
});

// Guards against an instance that starts after the restore and follows the copy,
// while its peers know what the store has lost.
test("an instance that starts after a restore learns what is lost", async () => {
  const { near, far, lead, peer } = await startPair();
  peer.close();
  near.restore();
  far.restore();
  await vi.advanceTimersByTimeAsync(500);
  const fresh = start("c", far);
  fresh.leads = [lead];
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  expect(fresh.version).toBe(14);
});

// The second copy is from before the first restore.
test("two restores in a row: what is written after the second is in force", async () => {
  const { store, instance } = await startInstance();
  store.copy("first");
  writeConfiguration(store, 14);
  writeMuch(store);
  store.copy("second");
  await vi.advanceTimersByTimeAsync(1500);
  store.restore("second");
  writeConfiguration(store, 16);
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  store.restore("first");
  writeConfiguration(store, 16);
  writeConfiguration(store, 19);
  writeEngine(store, "e1", { state: "draining" });
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  expect(instance.version).toBe(19);
  expect(enginesOf(instance)).toEqual(["e1 leaving", "e2"]);
});

// Guards against requests to an engine that leaves, by an instance that has read
// only the copy.
test("an instance that starts after a restore learns that an engine leaves", async () => {
  const [near, far] = [new FakeRecordStore(), new FakeRecordStore()];
  for (const store of [near, far]) {
    writeConfiguration(store, 12);
    writeEngine(store, "e1");
    store.copy();
    writeEngine(store, "e1", { state: "draining", seq: 4 });
    writeMuch(store);
  }
  const lead = start("a", near);
  await vi.advanceTimersByTimeAsync(1500);
  near.restore();
  far.restore();
  await vi.advanceTimersByTimeAsync(500);
  const fresh = start("c", far);
  fresh.leads = [lead];
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  expect(enginesOf(fresh)).toEqual(["e1 leaving"]);
});

// Guards against engines that are dropped at once where the era is heard of from a
// peer: the store's return went unnoticed.
test("an engine that the copy lacks is kept where a peer tells of the era", async () => {
  const [near, far] = [new FakeRecordStore(), new FakeRecordStore()];
  for (const store of [near, far]) {
    writeConfiguration(store, 12);
    writeEngine(store, "e1");
    store.copy();
    writeEngine(store, "e2");
    writeMuch(store);
  }
  const peer = start("b", far);
  peer.leads = [start("a", near)];
  await vi.advanceTimersByTimeAsync(3000);
  far.readMode = "silent";
  far.areWatchesDeaf = true;
  near.restore();
  for (let passedMs = 0; passedMs < 1500; passedMs += 50) {
    await vi.advanceTimersByTimeAsync(50);
    peer.view.dropMissingEngines(performance.now());
    const used = [...peer.engineTable.all()].map(({ engine }) => engine.id);
    expect(used.toSorted()).toEqual(["e1", "e2"]);
  }
});

// Guards against an evacuation that is not heeded in time: it begins again before
// the first list, under a number of before its end.
test("an evacuation that begins again after a restore is known in time", async () => {
  const store = new FakeRecordStore();
  writeConfiguration(store, 12);
  writeEngine(store, "e1");
  const instance = new FakeInstance("a", store, {
    evacuationKnownMs: EVACUATED_WITHIN_MS,
  });
  instance.start();
  cleanups.push(() => {
    instance.close();
    store.close();
  });
  await vi.advanceTimersByTimeAsync(1500);
  store.copy();
  writeMuch(store);
  store.write("evacuations", "z", {});
  await vi.advanceTimersByTimeAsync(1500);
  store.erase("evacuations", "z");
  await vi.advanceTimersByTimeAsync(1500);
  expect(instance.view.evacuations.isEvacuated("z")).toBe(false);
  store.restore();
  store.write("evacuations", "z", {});
  await vi.advanceTimersByTimeAsync(EVACUATED_WITHIN_MS);
  expect(instance.view.evacuations.isEvacuated("z")).toBe(true);
});

// Guards against an engine that is used after its end: the removal carries the
// number of the store's older entry.
test("an engine whose lost entry expires is gone", async () => {
  const { store, instance } = await startInstance();
  store.copy();
  writeEngine(store, "e1", { seq: 9 });
  writeMuch(store);
  await vi.advanceTimersByTimeAsync(1500);
  store.restore();
  await vi.advanceTimersByTimeAsync(3000);
  store.readMode = "silent";
  store.erase("engines", "e1");
  await vi.advanceTimersByTimeAsync(ENTRY_BACK_MS);
  expect(enginesOf(instance)).toEqual(["e2"]);
});

// Guards against a former start of an engine that is used for good, because the
// clock of the new one is behind.
test("an engine that starts again with an earlier clock is known in time", async () => {
  const store = new FakeRecordStore();
  writeConfiguration(store, 12);
  writeEngine(store, "e1", { born: 5 });
  const instance = start("a", store);
  await vi.advanceTimersByTimeAsync(1500);
  store.copy();
  writeMuch(store);
  await vi.advanceTimersByTimeAsync(1500);
  store.restore();
  writeEngine(store, "e1", { born: 4, seq: 0 });
  await vi.advanceTimersByTimeAsync(10_000);
  expect([...instance.view.engines].map(({ key }) => key)).toEqual(["e1@4"]);
});

// Guards against instances that never confirm each other: each counted what was
// lost as of another list.
test("instances that know the same lost version agree", async () => {
  const store = new FakeRecordStore();
  writeConfiguration(store, 12);
  const announce = (adapter: string, version: number) =>
    store.write("versions", adapter, { model: "m", adapter, version });
  announce("a", 1);
  store.copy();
  announce("a", 2);
  writeMuch(store);
  const lead = start("a", store);
  const peer = start("b", store);
  peer.leads = [lead];
  await vi.advanceTimersByTimeAsync(3000);
  const busy = setInterval(() => store.write("holds", "other", 0), 7);
  cleanups.push(() => clearInterval(busy));
  store.restore();
  await vi.advanceTimersByTimeAsync(1000);
  announce("b", 1);
  await vi.advanceTimersByTimeAsync(5000);
  expect(peer.records.summary("versions"))
    .toEqual(lead.records.summary("versions"));
});
