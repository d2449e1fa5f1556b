import { expect, test } from "vitest";
import { TokenRate } from "./token_rate.ts";

const LIMIT = { perSecond: 1000, burst: 2000 };

/** Instances that tell each other their use every `tellMs`. */
function runFleet(
  instances: number,
  seconds: number,
  options: {
    readonly perTick: number;
    readonly tellMs: number;
    readonly connected: (a: number, b: number) => boolean;
  },
): number {
  const rates = Array.from(
    { length: instances },
    () => new TokenRate(LIMIT, 0),
  );
  const { perTick, tellMs, connected } = options;
  let passed = 0;
  for (let now = 0; now < seconds * 1000; now += 10) {
    rates.forEach((rate, i) => {
      const silent = rates.filter((_, j) => j !== i && !connected(i, j)).length;
      rate.refill(now, silent / instances);
      for (let n = 0; n < perTick; n += 1) if (rate.take(50)) passed += 50;
    });
    if (now % tellMs !== 0) continue;
    rates.forEach((rate, i) =>
      rates.forEach((other, j) => {
        if (i !== j && connected(i, j)) rate.learn(`${j}`, "one", other.used);
      })
    );
  }
  return passed;
}

test("hot tenant: all instances together stay near rate and burst", () => {
  const passed = runFleet(8, 8, {
    perTick: 1,
    tellMs: 200,
    connected: () => true,
  });
  // The deployments allow a tenth and 17,000 beyond that.
  expect(passed).toBeLessThan((1000 * 8 + 2000) * 1.1 + 17_000);
  expect(passed).toBeGreaterThan(1000 * 8 * 0.9);
});

test("cut in two: the halves together do not exceed the rate", () => {
  const passed = runFleet(8, 20, {
    perTick: 1,
    tellMs: 200,
    connected: (a, b) => (a < 4) === (b < 4),
  });
  expect(passed).toBeLessThan((1000 * 20 + 2000) * 1.1 + 17_000);
});

test("a lowered limit takes effect at once", () => {
  const rate = new TokenRate(LIMIT, 0);
  rate.refill(2000, 0);
  rate.setLimit({ perSecond: 10, burst: 100 });
  expect(rate.take(101)).toBe(true);
  expect(rate.take(1)).toBe(false);
});

test("a restarted peer's use counts from its restart", () => {
  const rate = new TokenRate(LIMIT, 0);
  rate.refill(5000, 0);
  rate.learn("p", "one", 500);
  rate.learn("p", "one", 900);
  expect(rate.level).toBe(1600);
  rate.learn("p", "two", 100);
  expect(rate.level).toBe(1600);
  rate.learn("p", "two", 300);
  expect(rate.level).toBe(1400);
});

test("a request above the burst passes on a full bucket", () => {
  const rate = new TokenRate(LIMIT, 0);
  rate.refill(10_000, 0);
  expect(rate.take(2500)).toBe(true);
  expect(rate.level).toBe(-500);
});

test("generations that use up the rate leave room for small calls", () => {
  const rate = new TokenRate({ perSecond: 10_000, burst: 40_000 }, 0);
  rate.refill(10_000, 0);
  while (rate.take(1200));
  expect(rate.take(200)).toBe(true);
});

test("instances restarted in series bring no new units", () => {
  const old = new TokenRate(LIMIT, 0);
  old.refill(10_000, 0);
  while (old.take(50));
  const fresh = new TokenRate(LIMIT, 10_000);
  fresh.adopt(old.level);
  expect(fresh.take(50)).toBe(false);
});

test("return of all: callers that come back together find room", () => {
  const rate = new TokenRate({ perSecond: 90_000, burst: 90_000 }, 0);
  let passed = 0;
  while (rate.take(1200)) passed += 1200;
  expect(passed).toBeGreaterThan(40_000);
});
