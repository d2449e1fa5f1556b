import { expect, test } from "vitest";
import { IdleLimit } from "./idle_limit.ts";

const once = { once: true, advertisedMs: undefined, now: 0 };

test("a connection is not used up to the last moment that its engine states", () => {
  const limit = new IdleLimit(30_000);
  expect(limit.allowedMs(once)).toBe(30_000);
  const stated = limit.allowedMs({ ...once, advertisedMs: 5000 });
  expect(stated).toBeLessThan(5000);
  expect(stated).toBeGreaterThan(4000);
});

test("engines that drop idle connections early are not trusted with a request that runs once", () => {
  const limit = new IdleLimit(30_000);
  limit.recordReset(1000, 0);
  limit.recordReset(4000, 0);
  const repeatable = limit.allowedMs({ ...once, once: false });
  expect(repeatable).toBeLessThan(1000);
  expect(limit.allowedMs(once)).toBeLessThan(repeatable);
});

test("a cut is forgotten by and by, since new connections are dear", () => {
  const limit = new IdleLimit(30_000);
  limit.recordReset(1000, 0);
  expect(limit.allowedMs({ ...once, now: 300_000 })).toBe(30_000);
});

test("an engine that crashes while it is in use says nothing about idle times", () => {
  const limit = new IdleLimit(30_000);
  limit.recordReset(20, 0);
  expect(limit.allowedMs(once)).toBe(30_000);
});
