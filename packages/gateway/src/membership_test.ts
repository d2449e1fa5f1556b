import { EventLog } from "@banyanlb/core";
import { EngineTable, MemberTable } from "@banyanlb/serving";
import { engineOf } from "@banyanlb/serving/testing";
import pino from "pino";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import * as events from "./events.ts";
import { Membership } from "./membership.ts";
import { FakeRecordStore } from "./testing/fake_record_store.ts";
import {
  memberOnPort,
  membershipOptions,
} from "./testing/membership_options.ts";

/** Time after which an instance has settled and written the assignment, in
 * milliseconds. */
const SETTLED_MS = 6000;

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
  return store;
}

function startMembership(store: FakeRecordStore, name = "a") {
  const logged: Readonly<Record<string, unknown>>[] = [];
  const engineTable = new EngineTable();
  engineTable.setEngines(["e1", "e2"].map((id) => engineOf(`${id}@1`, { id })));
  const members = new MemberTable(name, performance.now());
  const membership = new Membership(store, {
    ...membershipOptions(memberOnPort(name, 1), members),
    engineTable,
    log: new EventLog(pino({}, {
      write: (line: string) => void logged.push(JSON.parse(line)),
    })),
  });
  membership.start();
  membership.startAssignment();
  cleanups.push(() => {
    membership.close();
    store.close();
  });
  return { membership, members, logged };
}

const MEMBER = { ...memberOnPort("odd", 2), tenure: "t", renewals: 1 };

// One odd entry of another writer stopped the list of members from being read,
// or ended each round of messages to peers.
test.each([
  ["no value", undefined],
  ["text", "member"],
  ["a list", []],
  ["no fields", {}],
  ["a name that is not its own", { ...MEMBER, name: "other" }],
  ["a peer port of 99999999", { ...MEMBER, peerAddress: "127.0.0.1:99999999" }],
  ["a peer port of -1", { ...MEMBER, peerAddress: "127.0.0.1:-1" }],
  ["no peer address", { ...MEMBER, peerAddress: undefined }],
  ["a caller port of 65536", { ...MEMBER, callerAddress: "127.0.0.1:65536" }],
  ["endless power", { ...MEMBER, cores: 1e300 }],
  ["a tenure that is a number", { ...MEMBER, tenure: 7 }],
])(
  "a member's entry with %s names no member; the others hold",
  async (_, value) => {
    const store = createStore();
    const write = (name: string) =>
      store.write("members", name, {
        ...memberOnPort(name, 3),
        tenure: "t",
        renewals: 1,
      });
    store.write("members", "odd", value);
    write("b");
    const { members, logged } = startMembership(store);
    const names = () => members.list().map(({ name }) => name);
    await vi.advanceTimersByTimeAsync(100);
    expect(names()).toEqual(["b"]);
    store.write("members", "odd", value);
    write("c");
    // The members are read every 20 s.
    await vi.advanceTimersByTimeAsync(20_500);
    expect(names()).toContain("c");
    expect(names()).not.toContain("odd");
    const failures = logged.filter(({ event }) =>
      event === events.STORE_UNAVAILABLE.id ||
      event === events.UNEXPECTED_ERROR.id
    );
    expect(failures).toEqual([]);
    const ignored = logged.filter(({ event }) =>
      event === events.RECORD_IGNORED.id
    );
    expect(ignored.map(({ kind, name }) => [kind, name])).toEqual([
      ["members", "odd"],
    ]);
  },
);

// An odd assignment was never read and never replaced: owners went on with the
// old one, and instances that started had none.
test.each([
  ["no value", undefined],
  ["text", "engines"],
  ["an owner that is text", { "e1@1": "a#1", "e2@1": "a#1" }],
  ["an owner without a tenure", { "e1@1": { owner: "a", movedAt: 0 } }],
  ["no owner", { "e1@1": { movedAt: 0 }, "e2@1": null }],
  ["a move at 1e300", { "e1@1": { owner: "b#1", movedAt: 1e300 } }],
])(
  "an assignment with %s is written anew, and owners stay",
  async (_, value) => {
    const store = createStore();
    const { membership, logged } = startMembership(store);
    await vi.advanceTimersByTimeAsync(SETTLED_MS);
    expect(["e1@1", "e2@1"].map((key) => membership.mayOrder(key)))
      .toEqual([true, true]);
    const revision = store.write("assignment", "engines", value);
    await vi.advanceTimersByTimeAsync(SETTLED_MS);
    const { fence } = membership;
    expect(fence).toBeGreaterThan(revision);
    expect(["e1@1", "e2@1"].map((key) => membership.mayOrder(key)))
      .toEqual([true, true]);
    const starting = startMembership(store, "c");
    await vi.advanceTimersByTimeAsync(100);
    expect(starting.membership.ownerOf("e1@1")).toBe("a");
    const ignored = logged.filter(({ event }) =>
      event === events.RECORD_IGNORED.id
    );
    expect(ignored.map(({ kind }) => kind)).toEqual(["assignment"]);
  },
);

// The owners of before are not known: whoever owns an engine now must keep its
// distance from their orders.
test("an instance that starts with an odd assignment keeps the order gap", async () => {
  const store = createStore();
  store.write("assignment", "engines", "text");
  const { membership, logged } = startMembership(store);
  await vi.advanceTimersByTimeAsync(SETTLED_MS);
  const waits = logged.filter(({ event }) =>
    event === events.OWNERSHIP_CHANGED.id
  ).map(({ waitMs }) => Number(waitMs));
  expect(waits.length).toBe(2);
  expect(Math.min(...waits)).toBeGreaterThan(1000);
  await vi.advanceTimersByTimeAsync(SETTLED_MS);
  expect(membership.mayOrder("e1@1")).toBe(true);
});
