import { ManualClocks, MemberTable } from "@banyanlb/serving";
import { memberOf } from "@banyanlb/serving/testing";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { Membership } from "./membership.ts";
import { FakeRecordStore } from "./testing/fake_record_store.ts";
import { membershipOptions } from "./testing/membership_options.ts";

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
  const self = memberOf(name, {
    peerAddress: `${name}:1`,
    callerAddress: `${name}:2`,
  });
  const membership = new Membership(store, {
    ...membershipOptions(self, members),
    clocks: new ManualClocks(),
    orderGapMs: 9000,
    isStoreReader: () => false,
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
