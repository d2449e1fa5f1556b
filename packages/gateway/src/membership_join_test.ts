import { EventLog } from "@banyanlb/core";
import { EngineTable, ManualClocks, MemberTable } from "@banyanlb/serving";
import pino from "pino";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { Membership } from "./membership.ts";
import { FakeRecordStore } from "./testing/fake_record_store.ts";

/** Within this time of their starts instances have each other's digests, or
 * count each other as unresponsive, in milliseconds. */
const KNOWN_AFTER_MS = 1500;

const cleanups: (() => void)[] = [];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup();
  vi.useRealTimers();
});

/** Starts an instance's membership; returns the members that it knows. */
function startMember(store: FakeRecordStore, name: string): MemberTable {
  const members = new MemberTable(name, performance.now());
  const membership = new Membership(store, {
    self: {
      name,
      zone: "z1",
      region: "r1",
      peerAddress: `${name}:1`,
      callerAddress: `${name}:2`,
      incarnation: "one",
      cores: 1,
    },
    members,
    engineTable: new EngineTable(),
    clocks: new ManualClocks(),
    log: new EventLog(pino({}, { write: () => undefined })),
    orderGapMs: 9000,
    changeKnownMs: 2500,
    isStoreReader: () => false,
    rates: {
      useAt: () => ({}),
      isNearlyUsed: () => false,
      adoptFormerUse: () => undefined,
    },
    onAssignmentChange: () => undefined,
    onStoreFailure: () => undefined,
    acceptsOrders: () => false,
  });
  membership.start();
  cleanups.push(() => membership.close());
  return members;
}

// Guards against instances that start together and read the list of members
// before either is in it: neither counts what the other admits.
test("instances that start together find each other", async () => {
  const store = new FakeRecordStore();
  store.isWritable = true;
  store.putDelayMs = 5;
  cleanups.push(() => store.close());
  const a = startMember(store, "a");
  const b = startMember(store, "b");
  await vi.advanceTimersByTimeAsync(KNOWN_AFTER_MS);
  expect(a.list().map(({ name }) => name)).toEqual(["b"]);
  expect(b.list().map(({ name }) => name)).toEqual(["a"]);
});
