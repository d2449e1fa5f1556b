import { expect, test } from "vitest";
import { LapseWatch, ORDER_TERM_MS, OrderLease } from "./order_lease.ts";
import { ManualClocks } from "./two_clocks.ts";

test("the right ends with its term, counted from the sending", () => {
  const clocks = new ManualClocks();
  const lease = new OrderLease(clocks);
  expect(lease.holds()).toBe(false);
  const sentAt = clocks.read();
  clocks.advance(1000);
  lease.confirm(sentAt);
  expect(lease.holds()).toBe(true);
  clocks.advance(ORDER_TERM_MS - 1000);
  expect(lease.holds()).toBe(false);
});

test("a machine that stood still has no right when it wakes", () => {
  const clocks = new ManualClocks();
  const lease = new OrderLease(clocks);
  lease.confirm(clocks.read());
  clocks.wall += ORDER_TERM_MS;
  expect(lease.holds()).toBe(false);
});

test("a time of day that is set back does not extend the right", () => {
  const clocks = new ManualClocks();
  const lease = new OrderLease(clocks);
  lease.confirm(clocks.read());
  clocks.steady += ORDER_TERM_MS;
  clocks.wall -= 2000;
  expect(lease.holds()).toBe(false);
});

test("an entry lapses only after a whole term without a renewal", () => {
  const clocks = new ManualClocks();
  const watch = new LapseWatch(clocks);
  expect(watch.observe("m", 5, clocks.read())).toBe(false);
  clocks.advance(ORDER_TERM_MS);
  expect(watch.observe("m", 5, clocks.read())).toBe(false);
  clocks.advance(1);
  expect(watch.observe("m", 5, clocks.read())).toBe(true);
  expect(watch.observe("m", 6, clocks.read())).toBe(false);
});

test("time that the watcher did not live through proves no lapse", () => {
  const clocks = new ManualClocks();
  const watch = new LapseWatch(clocks);
  watch.observe("m", 5, clocks.read());
  clocks.wall += 60_000;
  expect(watch.observe("m", 5, clocks.read())).toBe(false);
});
