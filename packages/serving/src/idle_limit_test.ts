import { expect, test } from "vitest";
import { IdleLimit } from "./idle_limit.ts";

const once = { once: true, advertisedMs: undefined, now: 0 };

test("a connection is not reused up to the end of the advertised idle time", () => {
  const limit = new IdleLimit(30_000);
  expect(limit.allowedMs(once)).toBe(30_000);
  const stated = limit.allowedMs({ ...once, advertisedMs: 5000 });
  expect(stated).toBeLessThan(5000);
  expect(stated).toBeGreaterThan(4000);
});

test("engines that drop idle connections early: requests that must not be repeated get a lower limit", () => {
  const limit = new IdleLimit(30_000);
  limit.recordReset(1000, 0);
  limit.recordReset(4000, 0);
  const repeatable = limit.allowedMs({ ...once, once: false });
  expect(repeatable).toBeLessThan(1000);
  expect(limit.allowedMs(once)).toBeLessThan(repeatable);
});

test("a reset is gradually forgotten, since new connections are expensive", () => {
  const limit = new IdleLimit(30_000);
  limit.recordReset(1000, 0);
  expect(limit.allowedMs({ ...once, now: 300_000 })).toBe(30_000);
});

test("a reset of a connection in use, by a crash, does not lower the limit", () => {
  const limit = new IdleLimit(30_000);
  limit.recordReset(20, 0);
  expect(limit.allowedMs(once)).toBe(30_000);
});
