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

test("a resumed slot gets its tokens back, but only once", () => {
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

test("a slot is not resumed under another epoch", () => {
  const shares = holdFilledSlot();
  const handover = shares.release(0);
  shares.resume(0, { epoch: EPOCH + 1, handover });
  expect(shares.levelOf("a", [0]).shares).toBe(0);
});

test("a release after the lease has expired hands over no levels", () => {
  let remaining_ms = 1_000;
  const shares = holdFilledSlot({ remaining: () => remaining_ms });
  remaining_ms = 0;
  expect(shares.release(0)).toEqual({ v: [] });
});

test("a late handover is imported, but only once per epoch", () => {
  const { v } = holdFilledSlot().release(0);
  const shares = holdFilledSlot();
  const before = shares.levelOf("a", [0]).level;
  shares.hold(0, { epoch: EPOCH, handover: { v } });
  expect(shares.levelOf("a", [0]).level).toBeGreaterThan(before + 5);
  // The workspace gets a new bucket when it is removed and added again.
  shares.setWorkspaces([]);
  shares.setWorkspaces([WORKSPACE]);
  shares.hold(0, { epoch: EPOCH, handover: { v } });
  expect(shares.levelOf("a", [0]).level).toBeLessThanOrEqual(0);
});
