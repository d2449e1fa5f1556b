import { describe, expect, test } from "vitest";
import { EngineLimits } from "../engine_limits.ts";
import { type ColdBounds, type Sharer, warmUpShare } from "./warm_up_share.ts";

const STEP_MS = 20;
const WINDOW_MS = 1000;
const PLACE = { zone: "z1", region: "r1" };

/** What the deployments allow in one second. */
const BOUNDS: ColdBounds = { ratio: 1.5, fixed: 5 };

interface Case {
  readonly instances: number;
  readonly requestsPerSecond: number;
  readonly bounds?: ColdBounds;
}

function sharer(i: number): Sharer {
  return { name: `i${i}`, zone: `z${i % 6}`, region: `r${i % 2}` };
}

/** Lets all instances press on a cold engine of which they learn at one moment.
 * Returns the most requests that it gets in one second, and the mean. */
function press({ instances, requestsPerSecond, bounds = BOUNDS }: Case) {
  const terms = { durationMs: 5000, requestsPerSecond };
  const all = Array.from({ length: instances }, (_, i) => sharer(i));
  const fleet = all.map((self) => {
    const share = warmUpShare(
      self.name,
      { key: "e", place: PLACE, terms },
      { sharers: all, bounds },
    );
    return new EngineLimits(
      self.name,
      () => ({ names: [self.name], isCutOff: false }),
      { isCold: () => true, shareOf: () => share },
    );
  });
  const arrivals: number[] = [];
  for (let now = 0; now < terms.durationMs; now += STEP_MS) {
    for (const limits of fleet) {
      if (limits.tryTake("e", now)) arrivals.push(now);
    }
  }
  const counts = arrivals.map((start) =>
    arrivals.filter((at) => at >= start && at < start + WINDOW_MS).length
  );
  return {
    most: Math.max(0, ...counts),
    perSecond: arrivals.length * 1000 / terms.durationMs,
  };
}

function allowed({ requestsPerSecond, bounds = BOUNDS }: Case): number {
  return requestsPerSecond * bounds.ratio + bounds.fixed;
}

describe("a zone that returns cold, learned by all in one report interval", () => {
  test.each<Case>([
    { instances: 9, requestsPerSecond: 13 },
    { instances: 60, requestsPerSecond: 13 },
    { instances: 300, requestsPerSecond: 13 },
    { instances: 60, requestsPerSecond: 1 },
    { instances: 60, requestsPerSecond: 80 },
    { instances: 60, requestsPerSecond: 5, bounds: { ratio: 1, fixed: 0 } },
    { instances: 1, requestsPerSecond: 13 },
  ])("$instances instances, $requestsPerSecond a second", (load) => {
    const { most, perSecond } = press(load);
    expect(most).toBeLessThanOrEqual(allowed(load));
    // Callers need the engine: most of what it bears is used.
    expect(perSecond).toBeGreaterThan(load.requestsPerSecond * 0.6);
  });
});

test("instances near the engine share it", () => {
  const all = Array.from({ length: 60 }, (_, i) => sharer(i));
  const sharers = all.filter(({ name }) =>
    warmUpShare(
      name,
      {
        key: "e",
        place: PLACE,
        terms: { durationMs: 1, requestsPerSecond: 13 },
      },
      { sharers: all, bounds: BOUNDS },
    ) > 0
  );
  expect(sharers.length).toBeGreaterThan(1);
  expect(sharers.every(({ zone }) => zone === PLACE.zone)).toBe(true);
});
