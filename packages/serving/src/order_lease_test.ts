import { expect, test } from "vitest";
import { ExpiryDetector, ORDER_LEASE_MS, OrderLease } from "./order_lease.ts";
import { ManualClocks } from "./clock_pair.ts";

test("the lease expires after its duration, counted from the sending of the renewal", () => {
  const clocks = new ManualClocks();
  const lease = new OrderLease(clocks);
  expect(lease.isHeld()).toBe(false);
  const sentAt = clocks.read();
  clocks.advance(1000);
  lease.recordRenewal(sentAt);
  expect(lease.isHeld()).toBe(true);
  clocks.advance(ORDER_LEASE_MS - 1000);
  expect(lease.isHeld()).toBe(false);
});

test("a machine has no lease when it resumes from a suspension", () => {
  const clocks = new ManualClocks();
  const lease = new OrderLease(clocks);
  lease.recordRenewal(clocks.read());
  clocks.wall += ORDER_LEASE_MS;
  expect(lease.isHeld()).toBe(false);
});

test("a wall clock that is set back does not extend the lease", () => {
  const clocks = new ManualClocks();
  const lease = new OrderLease(clocks);
  lease.recordRenewal(clocks.read());
  clocks.monotonic += ORDER_LEASE_MS;
  clocks.wall -= 2000;
  expect(lease.isHeld()).toBe(false);
});

test("a lease counts as expired only after its whole duration without a renewal", () => {
  const clocks = new ManualClocks();
  const detector = new ExpiryDetector(clocks);
  expect(detector.observe("m", 5, clocks.read())).toBe(false);
  clocks.advance(ORDER_LEASE_MS);
  expect(detector.observe("m", 5, clocks.read())).toBe(false);
  clocks.advance(1);
  expect(detector.observe("m", 5, clocks.read())).toBe(true);
  expect(detector.observe("m", 6, clocks.read())).toBe(false);
});

test("a suspension of the observer does not expire a lease", () => {
  const clocks = new ManualClocks();
  const detector = new ExpiryDetector(clocks);
  detector.observe("m", 5, clocks.read());
  clocks.wall += 60_000;
  expect(detector.observe("m", 5, clocks.read())).toBe(false);
});
