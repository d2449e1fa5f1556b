import { ManualClock, NoopMetrics } from "@banyanlb/core";
import { expect, test } from "vitest";
import { RateShares } from "./rate_shares.ts";

const EPOCH = 4;
const WORKSPACE = { name: "a", rate: 9, burst: 90, slots: [0, 1, 2] };

function holdFilledSlot(lease = { remaining: () => 1_000 }) {
  const clock = new ManualClock();
  const shares = new RateShares({ clock, metrics: new NoopMetrics(), lease });
  shares.setWorkspaces([WORKSPACE]);
  shares.hold(0, { epoch: EPOCH });
  clock.advance(5_000);
  return shares;
}

test("a slot that was not moved keeps its tokens, once", () => {
  const shares = holdFilledSlot();
  const before = shares.levelOf("a", [0]).level;
  const handover = shares.release(0);
  expect(shares.levelOf("a", [0]).level).toBe(0);
  shares.resume(0, { epoch: EPOCH, handover });
  expect(shares.levelOf("a", [0]).level).toBe(before);
  shares.reserve({ w: "a", i: "x", n: before, s: [0] });
  shares.resume(0, { epoch: EPOCH, handover });
  expect(shares.levelOf("a", [0]).level).toBe(0);
});

test("a slot that has another epoch is not resumed", () => {
  const shares = holdFilledSlot();
  const handover = shares.release(0);
  shares.resume(0, { epoch: EPOCH + 1, handover });
  expect(shares.levelOf("a", [0]).shares).toBe(0);
});

test("a slot whose lease has ended hands nothing over", () => {
  let remaining_ms = 1_000;
  const shares = holdFilledSlot({ remaining: () => remaining_ms });
  remaining_ms = 0;
  expect(shares.release(0)).toEqual({ v: [] });
});

test("a handover may come late, but counts once an epoch", () => {
  const { v } = holdFilledSlot().release(0);
  const shares = holdFilledSlot();
  const before = shares.levelOf("a", [0]).level;
  shares.hold(0, { epoch: EPOCH, handover: { v } });
  expect(shares.levelOf("a", [0]).level).toBeGreaterThan(before + 5);
  // Removed and added again, the workspace has a new bucket.
  shares.setWorkspaces([]);
  shares.setWorkspaces([WORKSPACE]);
  shares.hold(0, { epoch: EPOCH, handover: { v } });
  expect(shares.levelOf("a", [0]).level).toBeLessThanOrEqual(0);
});
