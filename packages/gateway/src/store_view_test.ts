import { afterEach, beforeEach, expect, test, vi } from "vitest";
import * as events from "./events.ts";
import { APPLY_WITHIN_MS, FakeInstance } from "./testing/fake_instance.ts";
import { FakeRecordStore } from "./testing/fake_record_store.ts";
import { writeConfiguration, writeEngine } from "./testing/write_records.ts";

const cleanups: (() => void)[] = [];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup();
  vi.useRealTimers();
});

function startInstance(store: FakeRecordStore): FakeInstance {
  const instance = new FakeInstance("a", store);
  instance.start();
  cleanups.push(() => {
    instance.close();
    store.close();
  });
  return instance;
}

function enginesOf(instance: FakeInstance): readonly string[] {
  return [...instance.view.engines].map(({ id, leaving }) =>
    leaving ? `${id} leaving` : id
  );
}

async function startAtVersion(
  store: FakeRecordStore,
  version: number,
): Promise<FakeInstance> {
  writeConfiguration(store, version);
  const instance = startInstance(store);
  await vi.advanceTimersByTimeAsync(1500);
  expect(instance.version).toBe(version);
  return instance;
}

/** Writes in the time in which no watch hears of a change; afterwards the
 * history is lost. The watches that started last stay without replies. */
async function loseHistory(
  store: FakeRecordStore,
  write: () => void,
): Promise<void> {
  store.areWatchesDeaf = true;
  write();
  await resetWatches(store, ["configuration", "versions", "engines"]);
  store.compact();
  store.areWatchesDeaf = false;
}

async function resetWatches(
  store: FakeRecordStore,
  lastKinds: Parameters<FakeRecordStore["resetWatches"]>[0],
): Promise<void> {
  const reset = store.resetWatches(lastKinds);
  await vi.advanceTimersByTimeAsync(20);
  await reset;
}

// A watch that was restarted while the store dropped its history was accepted
// and then heard of nothing until the next change.
test("lost history: a change that no watch reports is in force in time", async () => {
  const store = new FakeRecordStore();
  const instance = await startAtVersion(store, 1);
  await loseHistory(store, () => writeConfiguration(store, 2));
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  expect(instance.version).toBe(2);
});

// The store answers a watch that missed a change with a newer revision and no
// changes, so the next watch does not ask for it again.
test("lost history: a watch that skips a change does not hide it", async () => {
  const store = new FakeRecordStore();
  store.skipsMissedChanges = true;
  const instance = await startAtVersion(store, 1);
  store.areWatchesDeaf = true;
  await resetWatches(store, []);
  // Each watch starts again after a pause of at most 500 ms.
  await vi.advanceTimersByTimeAsync(500);
  writeConfiguration(store, 2);
  store.areWatchesDeaf = false;
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  expect(instance.version).toBe(2);
});

// The watch reports the second of two changes only. The newest revision is then
// right although a record is missing.
test("lost history: a missed version is found although a later one is known", async () => {
  const store = new FakeRecordStore();
  const instance = await startAtVersion(store, 1);
  const announce = (adapter: string, version: number) =>
    store.write("versions", `m.${adapter}`, { model: "m", adapter, version });
  await loseHistory(store, () => announce("a1", 2));
  announce("a2", 5);
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  expect(instance.view.versionOf("m", "a1")).toBe(2);
  expect(instance.view.versionOf("m", "a2")).toBe(5);
});

// VERSION: each announced version made all older ones usable again.
test("versions: a replaced one stays unusable when the next is announced", async () => {
  const store = new FakeRecordStore();
  const announce = (version: number) =>
    store.write("versions", "m.a1", { model: "m", adapter: "a1", version });
  announce(1);
  const instance = await startAtVersion(store, 1);
  const oldest = () => instance.view.oldestVersionOf("m", "a1");
  announce(2);
  await vi.advanceTimersByTimeAsync(1000);
  expect(oldest()).toBe(1);
  await vi.advanceTimersByTimeAsync(8000);
  expect(oldest()).toBe(2);
  announce(3);
  await vi.advanceTimersByTimeAsync(1000);
  expect(instance.view.versionOf("m", "a1")).toBe(3);
  expect(oldest()).toBe(2);
  await vi.advanceTimersByTimeAsync(4000);
  expect(oldest()).toBe(3);
});

// An engine's entry is removed, or marked as leaving, while no watch hears it.
test("lost history: an engine that leaves unheard gets no requests in time", async () => {
  const store = new FakeRecordStore();
  writeEngine(store, "gone");
  writeEngine(store, "drained");
  writeEngine(store, "stays");
  const instance = await startAtVersion(store, 1);
  await loseHistory(store, () => {
    store.erase("engines", "gone");
    writeEngine(store, "drained", { state: "draining" });
  });
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  expect(enginesOf(instance).toSorted()).toEqual(["drained leaving", "stays"]);
});

// A connection goes silent: no reset, no reply, and changes do not arrive.
test("a silent watch does not hide a change", async () => {
  const store = new FakeRecordStore();
  const instance = await startAtVersion(store, 1);
  store.areWatchesDeaf = true;
  writeConfiguration(store, 2);
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  expect(instance.version).toBe(2);
});

// A list that was read from an old copy must neither count as a confirmation
// nor bring removed records back.
test("a stale list changes nothing and confirms nothing", async () => {
  const store = new FakeRecordStore();
  writeEngine(store, "gone");
  store.freezeLists();
  const instance = await startAtVersion(store, 1);
  store.erase("engines", "gone");
  await vi.advanceTimersByTimeAsync(1500);
  store.readMode = "stale";
  const follower = instance.view.follower("engines");
  await vi.advanceTimersByTimeAsync(3000);
  expect(enginesOf(instance)).toEqual([]);
  expect(follower.ageMs(performance.now())).toBeGreaterThan(2500);
  expect(instance.view.reachesStore).toBe(false);
});

test("a list that was under way for long confirms as of its request", async () => {
  const store = new FakeRecordStore();
  const instance = await startAtVersion(store, 1);
  store.listDelayMs = 350;
  const follower = instance.view.follower("configuration");
  const ages: number[] = [];
  for (let i = 0; i < 400; i += 1) {
    await vi.advanceTimersByTimeAsync(10);
    ages.push(follower.ageMs(performance.now()));
  }
  expect(Math.min(...ages.slice(200))).toBeGreaterThanOrEqual(350);
});

test("a process that starts amid changes has the newest in time", async () => {
  const store = new FakeRecordStore();
  writeConfiguration(store, 1);
  store.areWatchesDeaf = true;
  const instance = startInstance(store);
  for (const version of [2, 3, 4]) {
    await vi.advanceTimersByTimeAsync(300);
    writeConfiguration(store, version);
  }
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  expect(instance.version).toBe(4);
});

test("a configuration that cannot be decoded leaves one line and changes nothing", async () => {
  const store = new FakeRecordStore();
  const instance = await startAtVersion(store, 3);
  store.write("configuration", "main", { version: 4, routes: "none" });
  await vi.advanceTimersByTimeAsync(3000);
  writeConfiguration(store, 2);
  await vi.advanceTimersByTimeAsync(3000);
  expect(instance.version).toBe(3);
  const ignored = instance.logged.filter(({ event }) =>
    event === events.CONFIGURATION_IGNORED.id
  );
  expect(ignored.map(({ reason, inForce }) => [reason, inForce])).toEqual([
    ["not decodable", 3],
    ["older version", 3],
  ]);
});

// The log must tell whence each configuration came and what the watch did.
test("the log names the source of a configuration and the interrupted watch", async () => {
  const store = new FakeRecordStore();
  const instance = await startAtVersion(store, 1);
  writeConfiguration(store, 2);
  await vi.advanceTimersByTimeAsync(10);
  await loseHistory(store, () => writeConfiguration(store, 3));
  await vi.advanceTimersByTimeAsync(APPLY_WITHIN_MS);
  const lines = instance.logged.filter(({ kind, event }) =>
    kind === "configuration" || event === events.CONFIGURATION_APPLIED.id
  );
  const applied = lines.filter(({ event }) =>
    event === events.CONFIGURATION_APPLIED.id
  );
  expect(applied.map(({ version, source }) => [version, source])).toEqual([
    [1, "list"],
    [2, "watch"],
    [3, "list"],
  ]);
  const ids = lines.map(({ event }) => event);
  expect(ids).toContain(events.WATCH_INTERRUPTED.id);
  expect(ids).toContain(events.WATCH_ANSWERED.id);
  expect(ids).toContain(events.WATCH_SILENT.id);
});
