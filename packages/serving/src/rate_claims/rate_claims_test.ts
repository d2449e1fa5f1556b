import { expect, test } from "vitest";
import { TokenRate } from "../token_rate.ts";

const WINDOW_MS = 8000;
const UNITS = 1200;
const LIMIT = { perSecond: 24_000, burst: 24_000 };

/** A share of which nothing has been used. */
function createRate(): TokenRate {
  const rate = new TokenRate(LIMIT, {
    now: 0,
    windowMs: WINDOW_MS,
    hasEarlierUse: false,
  });
  rate.setShare(1, 0);
  return rate;
}

/** A share of which everything has been used, evenly over the window. */
function createUsedRate(): TokenRate {
  const rate = createRate();
  const slices = Array.from({ length: 4 }, () => 54_000);
  rate.restoreUse(slices, { at: WINDOW_MS, now: WINDOW_MS });
  return rate;
}

// Pattern of load: all instances return after a loss, and callers whose streams
// broke off compete with as many that begin as the limit allows.
test("streams that broke off go on before others begin", () => {
  const rate = createUsedRate();
  const waiting = new Set(Array.from({ length: 30 }, (_, i) => i));
  let begun = 0;
  for (let now = WINDOW_MS; now < WINDOW_MS + 6000; now += 50) {
    // Twice as many begin as the limit allows.
    for (let i = 0; i < 2; i += 1) {
      if (rate.tryTake(UNITS, { now }) !== undefined) begun += 1;
    }
    // Callers return about once a second.
    for (const caller of waiting) {
      if (((now / 50 + caller) % 20) !== 0) continue;
      const resumes = String(caller);
      const taken = rate.tryTake(UNITS, { now, resumes });
      if (taken === undefined) rate.claim(resumes, UNITS, now);
      else waiting.delete(caller);
    }
  }
  expect(waiting.size).toBe(0);
  expect(begun).toBeGreaterThan(25);
});

// Guards against units that lie idle, since the caller for whom they are kept does
// not return.
test("a claim ends", () => {
  const rate = createRate();
  for (let i = 0; i < 20; i += 1) rate.claim(String(i), UNITS, 0);
  const beginAll = (now: number) => {
    while (rate.tryTake(UNITS, { now }) !== undefined);
    return rate.levelAt(now);
  };
  expect(beginAll(0)).toBeGreaterThanOrEqual(20 * UNITS);
  expect(beginAll(3000)).toBeLessThan(3 * UNITS);
});

test("claims take no more than a quarter of a share from others", () => {
  const rate = createRate();
  for (let i = 0; i < 1000; i += 1) rate.claim(String(i), UNITS, 0);
  let begun = 0;
  while (rate.tryTake(UNITS, { now: 0 }) !== undefined) begun += 1;
  expect(begun * UNITS).toBeGreaterThan(rate.shareUnits * 0.7);
});
