import { expect, test } from "vitest";
import { unitsBound } from "./testing/admitted_units.ts";
import type { Callers } from "./testing/fleet_parts.ts";
import type { FleetOptions, Link, Restart } from "./testing/fleet_options.ts";
import { runFleet } from "./testing/rate_fleet_simulation.ts";
import { TokenRate } from "./token_rate.ts";

const LIMIT = { perSecond: 53_000, burst: 53_000 };
const FLEETS = [8, 60];
const DEMANDS = [3, 10];
const CALLERS: readonly Callers[] = ["even", "half_at_one", "one"];
const SEED = 22;

/** Runs the fleet for each demand and distribution of callers, and describes
 * the runs in which more units ran in a window than the limit allows. */
function violations(
  instances: number,
  options: Partial<FleetOptions>,
): readonly string[] {
  const bound = unitsBound(LIMIT);
  return DEMANDS.flatMap((demand) =>
    CALLERS.flatMap((callers) => {
      const { maxInWindow, maxWindowAt } = runFleet({
        instances,
        limit: LIMIT,
        demand,
        callers,
        durationMs: 20_000,
        seed: SEED,
        ...options,
      });
      if (maxInWindow <= bound) return [];
      return [
        `${demand} x the limit, callers ${callers}: ${maxInWindow} units ` +
        `within 8 s from ${maxWindowAt} ms, allowed ${bound}`,
      ];
    })
  );
}

/** The first four in ten instances. */
function isSlow(id: number, instances: number): boolean {
  return id < instances * 0.4;
}

/** Two restarts of instance 0; each process reports `silentMs` after its
 * start. */
function twoRestarts(silentMs: number): readonly Restart[] {
  return [3000, 5500].map((startsAt) => ({
    instance: 0,
    endsAt: startsAt - 500,
    startsAt,
    reportsAt: startsAt + silentMs,
  }));
}

// Guards against a burst that every instance admits before the first reports.
test.each(FLEETS)("%i instances, reports on time", (instances) => {
  expect(violations(instances, {})).toEqual([]);
});

// Guards against reports that are taken as newer than they are.
test.each(FLEETS.flatMap((n) => [500, 1000, 2000].map((ms) => [n, ms])))(
  "%i instances, reports %i ms late",
  (instances = 0, delayMs = 0) => {
    expect(violations(instances, { delayMs: () => delayMs })).toEqual([]);
  },
);

// Guards against use that is missing in the view because reports were lost.
test.each(FLEETS)("%i instances, lost reports and a cut", (instances) => {
  const delayMs = ({ from, to, now, random }: Link) => {
    const isCut = (from === 1 || to === 1) && now >= 2000 && now < 5000;
    return isCut || random < 0.3 ? undefined : 0;
  };
  expect(violations(instances, { delayMs })).toEqual([]);
});

// Guards against use of a new process that no peer counts, as it comes with the
// process's first report.
test.each(FLEETS.flatMap((n) => [500, 1000, 2000].map((ms) => [n, ms])))(
  "%i instances, one restarted twice, silent for %i ms",
  (instances = 0, silentMs = 0) => {
    expect(violations(instances, { restarts: twoRestarts(silentMs) }))
      .toEqual([]);
  },
);

// Guards against the use before a restart of all being forgotten, while the
// window still contains it.
test.each(FLEETS)("%i instances, all restarted", (instances) => {
  const restarts = Array.from({ length: instances }, (_, instance) => ({
    instance,
    endsAt: 4200,
    startsAt: 5200,
    reportsAt: 5400,
  }));
  expect(violations(instances, { restarts })).toEqual([]);
});

// Guards against an instance that counts nothing of what a peer admits, because
// neither has found the other yet.
test.each(FLEETS)("%i instances, two that have not met", (instances) => {
  expect(violations(instances, { strangers: { pair: [0, 1], untilMs: 8300 } }))
    .toEqual([]);
});

// Guards against refunds that free units which have left the window already.
test.each(FLEETS)(
  "%i instances, half of the requests refunded",
  (instances) => {
    expect(
      violations(instances, { refundedFraction: 0.5, refundAfterMs: 3000 }),
    ).toEqual([]);
  },
);

// Guards against slow instances that neither report in time nor count as
// unresponsive.
test.each(FLEETS)("%i instances, four in ten slow", (instances) => {
  const delayMs = ({ from, to }: Link) =>
    isSlow(from, instances) || isSlow(to, instances) ? 1500 : 0;
  expect(violations(instances, { delayMs })).toEqual([]);
});

// Guards against an age that is measured from reports in the fast direction.
test.each(FLEETS)("%i instances, one direction slow", (instances) => {
  const delayMs = ({ from, to }: Link) =>
    isSlow(from, instances) && !isSlow(to, instances) ? 1500 : 0;
  expect(violations(instances, { delayMs })).toEqual([]);
});

// Guards against units that a process counts as used although they were
// refunded, or the reverse.
test("use follows requests taken and refunded", () => {
  const rate = new TokenRate(LIMIT, {
    now: -60_000,
    windowMs: 8000,
    hasEarlierUse: false,
  });
  rate.setShare(1, -60_000);
  const before = rate.levelAt(0);
  const first = rate.tryTake(3000, { now: 0 });
  if (first === undefined) throw new Error("refused");
  expect(rate.tryTake(2000, { now: 0 })).toBeDefined();
  expect(rate.levelAt(0)).toBe(before - 5000);
  rate.refund(first, 3000);
  expect(rate.levelAt(3000)).toBe(before - 2000);
  expect(rate.levelAt(9000)).toBe(before);
});
