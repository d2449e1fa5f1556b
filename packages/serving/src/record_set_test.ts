import fc from "fast-check";
import { expect, test } from "vitest";
import type { RecordChange, RecordList, StoredRecord } from "./ports.ts";
import { RecordSet } from "./record_set.ts";

function record(name: string, revision: number): StoredRecord {
  return { name, revision, value: revision };
}

function namesOf(set: RecordSet): readonly string[] {
  return [...set.records.keys()].toSorted();
}

test("a list of a peer that is behind removes nothing newer", () => {
  const set = new RecordSet();
  set.mergeList({ records: [record("a", 5), record("b", 9)], revision: 10 });
  expect(set.mergeList({ records: [record("a", 4)], revision: 8 })).toBe(false);
  expect(set.records.get("a")?.revision).toBe(5);
  expect(namesOf(set)).toEqual(["a", "b"]);
});

// A peer's watch had gone on past a change that it missed, and its list then
// counted as complete up to there.
test("a peer that missed an addition does not remove it", () => {
  const peer = new RecordSet();
  peer.mergeList({ records: [record("a", 5)], revision: 10 });
  peer.mergeChanges([{ removed: false, record: record("c", 15) }]);
  const set = new RecordSet();
  set.mergeList({ records: [record("a", 5), record("b", 12)], revision: 13 });
  set.mergeList(peer.snapshot());
  expect(namesOf(set)).toEqual(["a", "b", "c"]);
});

test("a removed record does not return from an older list", () => {
  const set = new RecordSet();
  const old = { records: [record("a", 5)], revision: 6 };
  set.mergeList(old);
  set.mergeChanges([{ removed: true, record: record("a", 8) }]);
  set.mergeList(old);
  expect(namesOf(set)).toEqual([]);
  set.mergeChanges([{ removed: false, record: record("a", 9) }]);
  expect(namesOf(set)).toEqual(["a"]);
});

test("a peer learns of a removal after its last complete list", () => {
  const set = new RecordSet();
  const list = { records: [record("a", 5), record("b", 6)], revision: 6 };
  set.mergeList(list);
  set.mergeChanges([{ removed: true, record: record("a", 5) }]);
  const peer = new RecordSet();
  peer.mergeList(list);
  expect(peer.mergeList(set.snapshot())).toBe(true);
  expect(namesOf(peer)).toEqual(["b"]);
  expect(peer.fingerprint).toBe(set.fingerprint);
});

test("a peer learns of the removal of a record newer than the list", () => {
  const set = new RecordSet();
  const peer = new RecordSet();
  const list = { records: [record("b", 6)], revision: 6 };
  for (const instance of [set, peer]) {
    instance.mergeList(list);
    instance.mergeChanges([{ removed: false, record: record("a", 8) }]);
  }
  set.mergeChanges([{ removed: true, record: record("a", 9) }]);
  peer.mergeList(set.snapshot());
  expect(namesOf(peer)).toEqual(["b"]);
});

test("sets that differ in one record differ in their fingerprints", () => {
  const complete = new RecordSet();
  complete.mergeList({
    records: [record("a", 5), record("b", 9)],
    revision: 9,
  });
  const partial = new RecordSet();
  partial.mergeList({ records: [record("a", 4)], revision: 4 });
  partial.mergeChanges([{ removed: false, record: record("b", 9) }]);
  expect(partial.newestRevision).toBe(complete.newestRevision);
  expect(partial.fingerprint).not.toBe(complete.fingerprint);
});

interface Step {
  readonly name: string;
  readonly isRemoval: boolean;
}

/** Lists after each step, and the changes of all steps. */
function play(steps: readonly Step[]) {
  const current = new Map<string, StoredRecord>();
  const lists: RecordList[] = [{ records: [], revision: 0 }];
  const changes: RecordChange[] = [];
  steps.forEach(({ name, isRemoval }, i) => {
    const revision = i + 1;
    const last = current.get(name);
    if (isRemoval) current.delete(name);
    else current.set(name, record(name, revision));
    if (!isRemoval || last !== undefined) {
      changes.push({ removed: isRemoval, record: record(name, revision) });
    }
    lists.push({ records: [...current.values()], revision });
  });
  return { lists, changes };
}

// Replies that were lost, repeated or overtaken must not do harm that the next
// complete list does not undo, nor take a record back to an older revision.
test("any order of replies ends at the newest complete list", () => {
  const step = fc.record({
    name: fc.constantFrom("a", "b", "c"),
    isRemoval: fc.boolean(),
  });
  const reply = fc.record({ isList: fc.boolean(), at: fc.nat() });
  fc.assert(
    fc.property(
      fc.array(step, { minLength: 1, maxLength: 12 }),
      fc.array(reply, { maxLength: 20 }),
      (steps, replies) => {
        const { lists, changes } = play(steps);
        const set = new RecordSet();
        for (const { isList, at } of replies) {
          const before = set.records;
          const list = lists[at % lists.length];
          const change = changes[at % Math.max(1, changes.length)];
          if (isList && list !== undefined) set.mergeList(list);
          else if (change !== undefined) set.mergeChanges([change]);
          for (const { name, revision } of before.values()) {
            const after = set.records.get(name)?.revision ?? Infinity;
            expect(after).toBeGreaterThanOrEqual(revision);
          }
        }
        const newest = lists.at(-1);
        if (newest === undefined) return;
        set.mergeList(newest);
        expect([...set.records.values()].toSorted(byName))
          .toEqual([...newest.records].toSorted(byName));
      },
    ),
    { seed: 20261204, numRuns: 500 },
  );
});

function byName(a: StoredRecord, b: StoredRecord): number {
  return a.name < b.name ? -1 : 1;
}
