import { expect, test } from "vitest";
import { RetryAllowance } from "./retry_allowance.ts";

const LIMITS = { ratio: 0.2, windowMs: 10_000, fixed: 56 };

test("every engine fails: repeats stay within the common allowance", () => {
  const instances = 8;
  const fleet = Array.from(
    { length: instances },
    () => new RetryAllowance(LIMITS),
  );
  let requests = 0;
  let repeats = 0;
  for (let now = 0; now < 10_000; now += 20) {
    const allowance = fleet[(now / 20) % instances];
    allowance?.countRequest(now);
    requests += 1;
    if (allowance?.tryRepeat(now, instances)) repeats += 1;
  }
  expect(repeats).toBeLessThanOrEqual(0.2 * requests + 56);
  expect(repeats).toBeGreaterThan(0.1 * requests);
});

test("one instance alone has the whole fixed part, but no more", () => {
  const allowance = new RetryAllowance(LIMITS);
  let repeats = 0;
  while (allowance.tryRepeat(0, 1)) repeats += 1;
  expect(repeats).toBeLessThanOrEqual(56);
});

test("the allowance returns as the window moves on", () => {
  const allowance = new RetryAllowance(LIMITS);
  while (allowance.tryRepeat(0, 1));
  expect(allowance.tryRepeat(5000, 1)).toBe(false);
  expect(allowance.tryRepeat(10_500, 1)).toBe(true);
});
