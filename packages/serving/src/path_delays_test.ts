import { expect, test } from "vitest";
import { PathDelays } from "./path_delays.ts";

function delaysOf(roundTrips: readonly number[]): PathDelays {
  const delays = new PathDelays();
  roundTrips.forEach((roundTripMs, i) =>
    delays.record(`p${i}`, {
      region: "south",
      roundTripMs,
      intervalMs: 800,
      at: 0,
    })
  );
  return delays;
}

// Guards against one slow instance that makes a whole region look far.
test("one slow instance does not delay its region", () => {
  expect(delaysOf([18, 20, 2000]).to("south", 100)).toBe(20);
});

// Guards against a full link that is taken as fast.
test("a region whose instances acknowledge late is late", () => {
  expect(delaysOf([900, 1100, 1000]).to("south", 100)).toBe(1000);
});

// Guards against the last good measurement of a link that has stood still since.
test("silence counts once digests are overdue", () => {
  const delays = delaysOf([18, 20, 22]);
  expect(delays.to("south", 2400)).toBe(20);
  expect(delays.to("south", 3400)).toBe(1000);
});

test("a region of which nothing is known is not late", () => {
  expect(delaysOf([18]).to("north", 0)).toBe(0);
  expect(delaysOf([18]).to("south", 60_000)).toBe(0);
});
