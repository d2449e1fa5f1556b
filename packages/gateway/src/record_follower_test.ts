import { EventLog } from "@banyanlb/core";
import { confirmationTimes, type StoredRecord } from "@banyanlb/serving";
import pino from "pino";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import * as events from "./events.ts";
import { RecordFollower, type RecordSource } from "./record_follower.ts";
import { FakeRecordStore } from "./testing/fake_record_store.ts";

const cleanups: (() => void)[] = [];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup();
  vi.useRealTimers();
});

async function startFollower(store: FakeRecordStore) {
  const logged: Readonly<Record<string, unknown>>[] = [];
  const updates: { source: RecordSource; names: readonly string[] }[] = [];
  const reachability: boolean[] = [];
  const follower = new RecordFollower(store, {
    kind: "versions",
    waitMs: 5000,
    watchPauseMs: () => 0,
    confirmationTimes: confirmationTimes(2500),
    onRecords: (records: ReadonlyMap<string, StoredRecord>, source) =>
      updates.push({ source, names: [...records.keys()] }),
    onReachabilityChange: (reachable) => reachability.push(reachable),
    log: new EventLog(pino({}, {
      write: (line: string) => void logged.push(JSON.parse(line)),
    })),
  });
  void follower.run();
  cleanups.push(() => {
    follower.close();
    store.close();
  });
  await vi.advanceTimersByTimeAsync(10);
  const eventIds = () => logged.map(({ event }) => event);
  return { follower, updates, reachability, eventIds };
}

test("the first list and each change of a watch are passed on", async () => {
  const store = new FakeRecordStore();
  store.write("versions", "a", 1);
  const { updates } = await startFollower(store);
  store.write("versions", "b", 1);
  await vi.advanceTimersByTimeAsync(10);
  expect(updates).toEqual([
    { source: "list", names: ["a"] },
    { source: "watch", names: ["a", "b"] },
  ]);
});

test("a reset connection is reported, and the watch goes on from its revision", async () => {
  const store = new FakeRecordStore();
  const { updates, reachability, eventIds } = await startFollower(store);
  await Promise.all([
    store.resetWatches(),
    vi.advanceTimersByTimeAsync(10),
  ]);
  store.write("versions", "a", 1);
  await vi.advanceTimersByTimeAsync(600);
  expect(reachability).toEqual([false, true]);
  expect(updates.at(-1)).toEqual({ source: "watch", names: ["a"] });
  expect(eventIds()).toEqual([
    events.WATCH_INTERRUPTED.id,
    events.WATCH_ANSWERED.id,
  ]);
});

test("after the history is gone the records are listed anew", async () => {
  const store = new FakeRecordStore();
  store.write("versions", "a", 1);
  const { updates } = await startFollower(store);
  store.areWatchesDeaf = true;
  store.erase("versions", "a");
  store.write("versions", "b", 1);
  await Promise.all([
    store.resetWatches(),
    vi.advanceTimersByTimeAsync(10),
  ]);
  store.compact();
  store.areWatchesDeaf = false;
  await vi.advanceTimersByTimeAsync(600);
  expect(updates.at(-1)).toEqual({ source: "list", names: ["b"] });
});

// A restart of the watch is not a failure of the store, and must not be taken
// for one of a list that fails later.
test("a restarted watch does not count as a failure", async () => {
  const store = new FakeRecordStore();
  const { follower, reachability, eventIds } = await startFollower(store);
  follower.reconnect();
  await vi.advanceTimersByTimeAsync(10);
  expect(store.waitingWatches).toBe(1);
  expect(reachability).toEqual([]);
  expect(eventIds()).toEqual([events.WATCH_INTERRUPTED.id]);
});

test("a list of a peer is passed on once", async () => {
  const store = new FakeRecordStore();
  const { follower, updates } = await startFollower(store);
  const list = {
    records: [{ name: "a", revision: 900, value: 1 }],
    revision: 900,
  };
  expect(follower.adopt(list, performance.now() - 300)).toBe(true);
  expect(follower.adopt(list, performance.now() - 800)).toBe(false);
  expect(follower.ageMs(performance.now())).toBeLessThanOrEqual(300);
  expect(updates.filter(({ source }) => source === "peer").length).toBe(1);
});

test("a failed confirmation is logged once and does not stop the watch", async () => {
  const store = new FakeRecordStore();
  const { follower, reachability, eventIds } = await startFollower(store);
  store.readMode = "reject";
  for (let i = 0; i < 3; i += 1) await follower.confirm();
  expect(follower.isConfirmationFailing).toBe(true);
  expect(eventIds()).toEqual([events.CONFIRMATION_FAILED.id]);
  expect(reachability).toEqual([]);
  store.write("versions", "a", 1);
  await vi.advanceTimersByTimeAsync(10);
  expect(follower.newestRevision).toBe(store.revision);
  expect(follower.isConfirmationFailing).toBe(false);
});

// A change that reaches list and watch at the same time is no reason to restart
// the watch.
test("only a watch that stays without the change is restarted", async () => {
  const store = new FakeRecordStore();
  const { follower, eventIds } = await startFollower(store);
  store.write("versions", "a", 1);
  await follower.confirm();
  await vi.advanceTimersByTimeAsync(10);
  follower.restartSilentWatch();
  follower.restartSilentWatch();
  expect(eventIds()).toEqual([]);
  store.areWatchesDeaf = true;
  store.write("versions", "a", 2);
  await follower.confirm();
  follower.restartSilentWatch();
  expect(eventIds()).toEqual([events.WATCH_SILENT.id]);
});
