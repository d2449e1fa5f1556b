import { expect, test } from "vitest";
import { ManualClocks } from "../clock_pair.ts";
import { ORDER_LEASE_MS } from "../order_lease.ts";
import { RestoreWait } from "./restore_wait.ts";

const GAP_MS = 3000;
const WAIT_MS = ORDER_LEASE_MS + GAP_MS;

test("nobody waits in the first era", () => {
  const wait = new RestoreWait(new ManualClocks());
  expect(wait.isOver(1, GAP_MS)).toBe(true);
  expect(wait.noticeOf(1)).toBeUndefined();
});

test("a restore is waited for from its notice, each by itself", () => {
  const clocks = new ManualClocks();
  const wait = new RestoreWait(clocks);
  clocks.advance(60_000);
  for (const era of [2, 3]) {
    wait.recordRestore(era);
    clocks.advance(WAIT_MS - 1);
    expect(wait.isOver(era, GAP_MS)).toBe(false);
    clocks.advance(1);
    expect(wait.isOver(era, GAP_MS)).toBe(true);
  }
});

// Guards against an instance that was suspended and counts that as waiting.
test("a suspension is no waiting", () => {
  const clocks = new ManualClocks();
  const wait = new RestoreWait(clocks);
  wait.recordRestore(2);
  clocks.wall += WAIT_MS;
  expect(wait.isOver(2, GAP_MS)).toBe(false);
});

// Guards against a wait at each start after a drill, and against none where the
// restore was a moment ago.
test("a process that starts later learns how long to wait", () => {
  const clocks = new ManualClocks();
  const first = new RestoreWait(clocks);
  first.recordRestore(2);
  clocks.advance(4000);
  const early = new RestoreWait(clocks);
  expect(early.isOver(2, GAP_MS)).toBe(false);
  const notice = first.noticeOf(2);
  if (notice === undefined) throw new Error("no notice");
  early.learn(notice, 2);
  clocks.advance(WAIT_MS - 4000);
  // The clocks of two machines differ.
  expect(early.isOver(2, GAP_MS)).toBe(false);
  clocks.advance(2000);
  expect(early.isOver(2, GAP_MS)).toBe(true);
  const late = new RestoreWait(clocks);
  late.learn(notice, 2);
  expect(late.isOver(2, GAP_MS)).toBe(true);
  expect(late.noticeOf(2)).toEqual(notice);
  expect(late.isOver(3, GAP_MS)).toBe(false);
});
