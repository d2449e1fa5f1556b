import { expect, test } from "vitest";
import { unitsBound } from "./testing/admitted_units.ts";
import { memberOf } from "./testing/member_of.ts";
import { runFleet } from "./testing/rate_fleet_simulation.ts";
import { rateSharers } from "./rate_sharers.ts";
import { TokenRate, unitsInWindow } from "./token_rate.ts";
import type { Member } from "./types.ts";

const WINDOW_MS = 8000;
const LIMIT = { perSecond: 50_000, burst: 50_000 };

function newRate(limit: typeof LIMIT, hasEarlierUse: boolean): TokenRate {
  return new TokenRate(limit, { now: 0, windowMs: WINDOW_MS, hasEarlierUse });
}

// Guards against units that the former holder of a share has used and an
// instance without a share gets once more, as its share grows for the first
// time.
test.each([true, false])(
  "a first share that comes from another instance brings no units, early workspace %s",
  (hasEarlierUse) => {
    const rate = newRate(LIMIT, hasEarlierUse);
    rate.setShare(0, 0);
    rate.setShare(1 / 9, 60_000);
    expect(rate.levelAt(60_000)).toBeLessThanOrEqual(0);
  },
);

// Guards against use before a restart that is spread over the window, while it
// all took place at its end.
test.each([2, 3, 4])("9 instances, %i of them restarted", (count) => {
  const limit = { perSecond: 53_000, burst: 53_000 };
  const restarts = Array.from({ length: count }, (_, instance) => ({
    instance,
    endsAt: 1200,
    startsAt: 1800,
    reportsAt: 2000,
  }));
  const { maxInWindow } = runFleet({
    instances: 9,
    limit,
    demand: 10,
    callers: "even",
    durationMs: 20_000,
    seed: 22,
    restarts,
  });
  expect(maxInWindow).toBeLessThanOrEqual(unitsBound(limit));
});

// Guards against requests above a share that each sharer admits once.
test("requests above a share stay within the limit of all shares", () => {
  const limit = { perSecond: 1000, burst: 100 };
  const members = Array.from({ length: 62 }, (_, i) => memberOf(`i${i}`));
  const sharers = rateSharers(members, {
    workspace: "w",
    limit,
    windowMs: WINDOW_MS,
    requestUnits: 1,
  });
  let used = 0;
  for (const _ of sharers) {
    const rate = newRate(limit, false);
    rate.setShare(1 / sharers.length, 0);
    if (rate.tryTake(2400, { now: 60_000 }) !== undefined) used += 2400;
  }
  expect(used).toBeLessThanOrEqual(
    unitsInWindow(limit, WINDOW_MS) * 1.1 + 17_000,
  );
});

// Guards against shares that add up to more than one for longer than a window:
// a removal is known to the coordinators at once and to others up to 20 s later.
test("sharers change by the removed instance only", () => {
  const strongest = memberOf("s", { cores: 1.35 });
  const others = [
    ...Array.from({ length: 12 }, (_, i) => memberOf(`a${i}`, { cores: 0.9 })),
    ...Array.from(
      { length: 47 },
      (_, i) => memberOf(`b${i}`, { cores: 0.675 }),
    ),
  ];
  const namesOf = (members: readonly Member[]) =>
    rateSharers(members, {
      workspace: "w",
      limit: LIMIT,
      windowMs: WINDOW_MS,
      requestUnits: 1,
    })
      .map(({ name }) => name);
  const before = namesOf([strongest, ...others]);
  const after = namesOf(others);
  const added = after.filter((name) => !before.includes(name));
  expect(added.length).toBeLessThanOrEqual(1);
});
