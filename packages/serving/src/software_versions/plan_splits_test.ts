import { expect, test } from "vitest";
import { planSplits } from "./plan_splits.ts";
import { TAKE_UP_MAX_MS, type VersionSplits } from "./version_split.ts";

const START_MS = 1_700_000_000_000;

function roomsOf(room: Readonly<Record<string, number>>) {
  return new Map([["svc", new Map(Object.entries(room))]]);
}

function sharesIn(splits: VersionSplits | undefined) {
  let from = 0;
  return Object.fromEntries(
    (splits?.pools.svc?.[0]?.ranges ?? []).map(({ version, until }) => {
      const share = Math.round((until - from) * 100) / 100;
      from = until;
      return [version, share];
    }),
  );
}

// Pattern of load: the engines of a service are replaced one after the other.
test("new streams follow the engines of a release, in few steps", () => {
  let splits = planSplits(undefined, roomsOf({ v1: 13 }), START_MS);
  expect(sharesIn(splits)).toEqual({ v1: 1 });
  let steps = 0;
  for (let replaced = 1; replaced <= 13; replaced += 1) {
    const now = START_MS + replaced * 2000;
    const room = roomsOf({ v1: 13 - replaced, v2: replaced });
    if (replaced === 13) room.get("svc")?.delete("v1");
    const next = planSplits(splits, room, now);
    if (next === undefined) continue;
    splits = next;
    steps += 1;
    const total = Object.values(sharesIn(next)).reduce((a, b) => a + b, 0);
    expect(total).toBeCloseTo(1);
  }
  expect(sharesIn(splits)).toEqual({ v2: 1 });
  expect(steps).toBeLessThan(13);
});

// Guards against splits that follow each engine that crashes and comes back: each
// of them moves streams and costs a record of every instance.
test("a split stays while engines come and go", () => {
  const splits = planSplits(undefined, roomsOf({ v1: 6, v2: 7 }), START_MS);
  for (const room of [{ v1: 5, v2: 7 }, { v1: 6, v2: 6 }, { v1: 7, v2: 7 }]) {
    expect(planSplits(splits, roomsOf(room), START_MS + 5000)).toBeUndefined();
  }
  // Nothing is known of engines while none is listed.
  expect(planSplits(splits, roomsOf({}), START_MS + 5000)).toBeUndefined();
});

test("a version without an engine gets no new stream, without a pause", () => {
  const splits = planSplits(undefined, roomsOf({ v1: 6, v2: 1 }), START_MS);
  const next = planSplits(splits, roomsOf({ v1: 6 }), START_MS + 10);
  expect(sharesIn(next)).toEqual({ v1: 1 });
});

test("former splits are kept for as long as their streams may be taken up", () => {
  const first = planSplits(undefined, roomsOf({ v1: 2 }), START_MS);
  const second = planSplits(first, roomsOf({ v2: 2 }), START_MS + 1000);
  const later = START_MS + 1000 + TAKE_UP_MAX_MS;
  expect(second?.pools.svc?.map(({ number }) => number)).toEqual([2, 1, 0]);
  const third = planSplits(second, roomsOf({ v3: 2 }), later);
  expect(third?.pools.svc?.map(({ number }) => number)).toEqual([3, 2]);
});
