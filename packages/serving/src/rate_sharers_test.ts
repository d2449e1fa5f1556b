import { expect, test } from "vitest";
import { rateSharers } from "./rate_sharers.ts";
import { memberOf } from "./testing/member_of.ts";

const LIMIT = { perSecond: 50_000, burst: 50_000 };

function fleet(size: number, coresOf = (_: number) => 1) {
  return Array.from(
    { length: size },
    (_, i) => memberOf(`i${i}`, { cores: coresOf(i) }),
  );
}

function sharersOf(
  members: ReturnType<typeof fleet>,
  { limit = LIMIT, requestUnits = 1 } = {},
) {
  const options = { workspace: "w", limit, windowMs: 8000, requestUnits };
  return rateSharers(members, options).map(({ name }) => name);
}

test("a small fleet shares the limit as a whole", () => {
  expect(sharersOf(fleet(8))).toHaveLength(8);
});

// Guards against shares that move, and rest for a window, with each change of a
// limit.
test("another limit has the same sharers", () => {
  const members = fleet(60);
  const lower = { perSecond: 12_947, burst: 46_607 };
  expect(sharersOf(members)).toHaveLength(9);
  expect(sharersOf(members, { limit: lower })).toEqual(sharersOf(members));
});

// Guards against shares that are smaller than a request.
test("a small limit is shared among few instances", () => {
  const limit = { perSecond: 0.5, burst: 4 };
  expect(sharersOf(fleet(60), { limit })).toHaveLength(4);
  expect(sharersOf(fleet(60), { limit, requestUnits: 5 })).toHaveLength(1);
});

// Guards against shares that add up to more than one.
test("all instances find the same sharers, whatever their order", () => {
  const members = fleet(60);
  const reversed = [...members].reverse();
  expect(new Set(sharersOf(reversed))).toEqual(new Set(sharersOf(members)));
});

test("strong instances come first", () => {
  const members = fleet(60, (i) => (i < 12 ? 2 : 0.5));
  for (const name of sharersOf(members)) {
    expect(Number(name.slice(1))).toBeLessThan(12);
  }
});
