import { expect, test } from "vitest";
import { rateSharers } from "./rate_sharers.ts";

const LIMIT = { perSecond: 50_000, burst: 50_000 };

function fleet(size: number, coresOf = (_: number) => 1) {
  return Array.from({ length: size }, (_, i) => ({
    name: `i${i}`,
    zone: "z",
    region: "r",
    peerAddress: "",
    callerAddress: "",
    incarnation: "",
    cores: coresOf(i),
  }));
}

function sharersOf(members: ReturnType<typeof fleet>, limit = LIMIT) {
  return rateSharers(members, { workspace: "w", limit, windowMs: 8000 })
    .map(({ name }) => name);
}

test("a small fleet shares the limit as a whole", () => {
  expect(sharersOf(fleet(8))).toHaveLength(8);
});

// Guards against shares that are smaller than a request.
test("in a large fleet a share is as large as the burst", () => {
  expect(sharersOf(fleet(60))).toHaveLength(9);
  expect(sharersOf(fleet(60), { perSecond: 0.5, burst: 4 })).toHaveLength(2);
  expect(sharersOf(fleet(60), { perSecond: 10, burst: 0 })).toHaveLength(60);
  expect(sharersOf(fleet(60), { perSecond: 0, burst: 5 })).toHaveLength(1);
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
