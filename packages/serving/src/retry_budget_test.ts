import { expect, test } from "vitest";
import { RetryBudget } from "./retry_budget.ts";

const LIMITS = { ratio: 0.2, windowMs: 10_000, fixedRetries: 56 };

test("every engine fails: retries stay within the common budget", () => {
  const instances = 8;
  const fleet = Array.from(
    { length: instances },
    () => new RetryBudget(LIMITS),
  );
  let requests = 0;
  let retries = 0;
  for (let now = 0; now < 10_000; now += 20) {
    const budget = fleet[(now / 20) % instances];
    budget?.recordRequest(now);
    requests += 1;
    if (budget?.tryRetry(now, instances)) retries += 1;
  }
  expect(retries).toBeLessThanOrEqual(0.2 * requests + 56);
  expect(retries).toBeGreaterThan(0.1 * requests);
});

test("a single instance has the whole fixed number, but no more", () => {
  const budget = new RetryBudget(LIMITS);
  let retries = 0;
  while (budget.tryRetry(0, 1)) retries += 1;
  expect(retries).toBeLessThanOrEqual(56);
});

test("the budget recovers as the window moves on", () => {
  const budget = new RetryBudget(LIMITS);
  while (budget.tryRetry(0, 1));
  expect(budget.tryRetry(5000, 1)).toBe(false);
  expect(budget.tryRetry(10_500, 1)).toBe(true);
});
