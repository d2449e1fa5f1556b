import { expect, test } from "vitest";
import { fingerprintOf } from "../fingerprint.ts";
import type { RecordList, StoredRecord } from "../ports.ts";
import { RecordSet } from "../record_set.ts";
import { storeRevision } from "./store_revision.ts";

const KEPT_MS = 5000;

/** A set whose records have their progress as their value. */
function createSet(): RecordSet {
  return new RecordSet({
    progressOf: ({ value }) => [Number(value)],
    keptMs: KEPT_MS,
    hiddenMs: KEPT_MS,
  });
}

/** The record `name` that the store numbered `number` in `era`. */
function record(
  name: string,
  [era, number]: readonly [number, number],
  value = 1,
): StoredRecord {
  return { name, revision: storeRevision(era, number), value };
}

function list(
  [era, number]: readonly [number, number],
  ...records: readonly StoredRecord[]
): RecordList {
  return { records, revision: storeRevision(era, number) };
}

function valuesOf(set: RecordSet): Readonly<Record<string, unknown>> {
  return Object.fromEntries(
    [...set.records.values()].map(({ name, value }) => [name, value]),
  );
}

// Guards against changes of a restored store that are taken for old, since their
// numbers were given out before.
test("a change of a new era counts under a number of before", () => {
  const set = createSet();
  set.mergeList(list([1, 241], record("a", [1, 241], 14)), 0);
  set.mergeList(list([2, 236], record("a", [2, 236], 16)), 0);
  expect(valuesOf(set)).toEqual({ a: 16 });
  const change = { removed: false, record: record("a", [2, 240], 17) };
  set.mergeChanges([change], 0);
  expect(valuesOf(set)).toEqual({ a: 17 });
});

// Guards against a change that is undone because the store has lost it.
test("an older copy does not replace what is known, a newer writing does", () => {
  const set = createSet();
  set.mergeList(list([1, 241], record("a", [1, 241], 14)), 0);
  const copy = list([2, 170], record("a", [2, 90], 12));
  expect(set.mergeList(copy, 0)).toBe(true);
  expect(valuesOf(set)).toEqual({ a: 14 });
  expect(set.mergeList(copy, 60_000)).toBe(false);
  expect(valuesOf(set)).toEqual({ a: 14 });
  set.mergeList(list([2, 172], record("a", [2, 171], 14)), 60_000);
  expect(set.records.get("a")).toEqual(record("a", [2, 171], 14));
  set.mergeList(list([2, 180], record("a", [2, 175], 15)), 60_000);
  expect(valuesOf(set)).toEqual({ a: 15 });
});

// Guards against instances that differ for good: one knows what the store has
// lost, one has only read the copy.
test("a peer that has read the copy learns what the store has lost", () => {
  const set = createSet();
  set.mergeList(list([1, 241], record("a", [1, 241], 14)), 0);
  const peer = createSet();
  for (const number of [90, 170]) {
    // In the first case the copy ends with the record itself.
    const copy = list([2, number], record("a", [2, 90], 12));
    set.mergeList(copy, 0);
    peer.mergeList(copy, 0);
    expect(set.fingerprint).not.toBe(peer.fingerprint);
    expect(set.reportedRevision).toBeGreaterThan(peer.reportedRevision);
  }
  peer.mergeList(set.snapshot(), 0);
  expect(valuesOf(peer)).toEqual({ a: 14 });
  expect(peer.fingerprint).toBe(set.fingerprint);
  expect(peer.reportedRevision).toBe(set.reportedRevision);
});

// Guards against a late answer of the former era, or a peer that has not heard of
// the new one.
test("a list of the former era changes nothing in the new one", () => {
  const set = createSet();
  const former = list([1, 300], record("a", [1, 300], 9), record("b", [1, 20]));
  set.mergeList(list([2, 170], record("a", [2, 160], 5)), 0);
  expect(set.mergeList(former, 0)).toBe(false);
  expect(valuesOf(set)).toEqual({ a: 5 });
});

test("a record that a restored store lacks is kept until it must be back", () => {
  const set = createSet();
  set.mergeList(list([1, 241], record("a", [1, 241])), 0);
  const copy = list([2, 170]);
  set.mergeList(copy, 0);
  set.mergeList(list([2, 190]), KEPT_MS - 1);
  expect(valuesOf(set)).toEqual({ a: 1 });
  set.mergeList(list([2, 190]), KEPT_MS);
  expect(valuesOf(set)).toEqual({});
});

test("a record is removed at once if that is done in the new era", () => {
  const set = createSet();
  const known = list([1, 241], record("a", [1, 240]), record("b", [1, 241]));
  set.mergeList(known, 0);
  set.mergeList(list([2, 170]), 0);
  set.mergeChanges([{ removed: true, record: record("a", [2, 175]) }], 1);
  expect(valuesOf(set)).toEqual({ b: 1 });
  // Written again, and removed.
  set.mergeList(list([2, 180], record("b", [2, 180])), 2);
  set.mergeList(list([2, 190]), 3);
  expect(valuesOf(set)).toEqual({});
});

// Guards against a removed record that a restored store brings back: an engine
// that has left, an evacuation that has ended.
test.each([["a list", false], ["a watch", true]])(
  "a record whose removal %s reported stays removed",
  (_, isWatched) => {
    const set = createSet();
    set.mergeList(list([1, 90], record("a", [1, 90])), 0);
    if (isWatched) {
      set.mergeChanges([{ removed: true, record: record("a", [1, 90]) }], 10);
    } else set.mergeList(list([1, 200]), 10);
    set.mergeList(list([1, 241]), 20);
    const copy = list([2, 170], record("a", [2, 90]));
    set.mergeList(copy, 100);
    expect(valuesOf(set)).toEqual({});
    set.mergeList(copy, 100 + KEPT_MS - 1);
    expect(valuesOf(set)).toEqual({});
    set.mergeList(copy, 100 + KEPT_MS);
    expect(valuesOf(set)).toEqual({ a: 1 });
  },
);

test("a removed record that is written again in the new era counts at once", () => {
  const set = createSet();
  set.mergeList(list([1, 90], record("a", [1, 90])), 0);
  set.mergeList(list([1, 200]), 10);
  set.mergeList(list([2, 170], record("a", [2, 90])), 100);
  set.mergeList(list([2, 190], record("a", [2, 180], 2)), 200);
  expect(valuesOf(set)).toEqual({ a: 2 });
});

// The second copy is from before the first.
test("of two restores the second one counts", () => {
  const set = createSet();
  set.mergeList(list([1, 241], record("a", [1, 241], 14)), 0);
  set.mergeList(list([2, 170], record("a", [2, 165], 14)), 0);
  set.mergeList(list([3, 100], record("a", [3, 90], 12)), 0);
  expect(valuesOf(set)).toEqual({ a: 14 });
  set.mergeList(list([3, 120], record("a", [3, 110], 15)), 0);
  expect(valuesOf(set)).toEqual({ a: 15 });
});

// Guards against a kept record that is dropped since a peer's list, which merely
// keeps it as well, seems to show it written again.
test("a record that a peer keeps as well is kept", () => {
  const set = createSet();
  const peer = createSet();
  const known = list([1, 241], record("z", [1, 240]));
  for (const each of [set, peer]) each.mergeList(known, 0);
  peer.mergeList(list([2, 181]), 0);
  // The new era is first heard of from the peer.
  set.mergeList(peer.snapshot(), 40);
  set.mergeList(list([2, 185]), 100);
  set.mergeList(peer.snapshot(), 200);
  set.mergeList(list([2, 195]), 900);
  expect(valuesOf(set)).toEqual({ z: 1 });
});

// Guards against a removed record that a peer of the former era brings back.
test("a hidden record does not return from a list of the former era", () => {
  const set = createSet();
  const former = list([1, 151], record("a", [1, 150]));
  set.mergeList(former, 0);
  set.mergeList(list([1, 200]), 1000);
  set.mergeList(list([2, 160], record("a", [2, 150])), 2000);
  set.mergeList(former, 2100);
  expect(valuesOf(set)).toEqual({});
});

// Guards against instances of two eras that confirm each other.
test("fingerprints of two eras differ", () => {
  for (let number = 1; number < 2000; number += 1) {
    expect(fingerprintOf(storeRevision(2, number)))
      .not.toBe(fingerprintOf(storeRevision(1, number ^ 256)));
  }
});

// Guards against decoding all records, a long configuration among them, each time
// that a list confirms them.
test("progress is not asked for while the store is not restored", () => {
  let asked = 0;
  const set = new RecordSet({
    progressOf: () => {
      asked += 1;
      return undefined;
    },
  });
  const unchanged = list([1, 241], record("a", [1, 240]));
  set.mergeList(unchanged, 0);
  set.mergeList(unchanged, 700);
  set.mergeList(list([1, 250], record("a", [1, 250])), 1400);
  expect(asked).toBe(0);
});

// Records without progress are the system's own: what the store holds counts.
test("without progress and times the store's list counts as it is", () => {
  const set = new RecordSet();
  set.mergeList(list([1, 241], record("a", [1, 241]), record("b", [1, 9])), 0);
  set.mergeList(list([2, 170], record("a", [2, 90], 7)), 0);
  expect(valuesOf(set)).toEqual({ a: 7 });
});
