import { memberOf } from "@banyanlb/serving/testing";
import { beforeEach, expect, test } from "vitest";
import {
  createFleet,
  createPair,
  isRefusal,
  levelOf,
  RateInstance,
  SHARE_UNITS,
  startLimit,
  WINDOW_MS,
  WORKSPACE,
} from "./testing/rate_instance.ts";

let first: RateInstance;
let second: RateInstance;

beforeEach(() => {
  [first, second] = createPair();
});

function fleetOf(size: number): readonly RateInstance[] {
  return createFleet(Array.from({ length: size }, (_, i) => `f${i}`));
}

/** Units that an instance admits now without a loan, in requests of 100. */
async function admitAll({ rates }: RateInstance): Promise<number> {
  let used = 0;
  for (;;) {
    const taken = await rates.take("w", { units: 100, waitMaxMs: 0 });
    if (taken === undefined || isRefusal(taken)) return used;
    used += 100;
  }
}

// Guards against use that is forgotten with a workspace that a configuration
// leaves out and the next one contains again.
test("a workspace that is removed and added keeps its use", async () => {
  const used = await admitAll(first);
  first.rates.setWorkspaces([], performance.now());
  first.rates.setWorkspaces([WORKSPACE], performance.now() + WINDOW_MS);
  expect(used + await admitAll(first)).toBeLessThanOrEqual(SHARE_UNITS);
});

// Guards against units of a loan to an earlier process, which have run, and
// return because a later process uses the number again.
test("a refused question that is given back returns no other loan", () => {
  const ask = { t: "take", n: 1, workspace: "w", validMs: 250 } as const;
  second.rates.lend("i1", { ...ask, units: 4000 }, () => undefined);
  // The process of i1 is restarted. Its first question is refused, but the reply
  // is late.
  second.rates.lend("i1", { ...ask, units: 4000 }, () => undefined);
  second.rates.takeBack("i1", 1);
  expect(levelOf(second)).toBe(SHARE_UNITS - 4000);
});

// Guards against shares that add up to more than one while the store rejects a
// new instance: it knows only the seeds that it introduced itself to, and only
// these know it.
test("a process that never reads the list of members takes no share of others", () => {
  const fleet = fleetOf(9);
  const added = new RateInstance(memberOf("new"), () => false);
  for (const seed of fleet.slice(0, 3)) {
    seed.meet(added);
    added.meet(seed);
  }
  startLimit([...fleet, added]);
  for (const { rates } of [...fleet, added]) rates.update(WINDOW_MS * 3);
  const shares = [...fleet, added].reduce(
    (sum, { rates }) => sum + (rates.states(WINDOW_MS * 3)[0]?.share ?? 0),
    0,
  );
  expect(shares).toBeLessThanOrEqual(1.001);
});

// Guards against an instance that is cut off, whose entry was removed and whose
// share the others have divided: it goes on with its own share.
test("instances that are cut off and removed keep no share", () => {
  const fleet = fleetOf(9);
  startLimit(fleet, { ...WORKSPACE, burst: 1000 });
  for (const { members } of fleet.slice(3)) {
    for (const name of ["f0", "f1", "f2"]) members.remove(name);
  }
  // No digest has arrived for a minute at the three.
  const now = performance.now() + 60_000;
  for (const { rates } of fleet) rates.update(now);
  const shares = fleet.reduce(
    (sum, { rates }) => sum + (rates.states(now)[0]?.share ?? 0),
    0,
  );
  expect(shares).toBeLessThanOrEqual(1.1);
});

// Guards against units that come twice when a limit with a smaller burst is
// shared among more instances.
test("a lower burst brings no units that the former sharers have used", async () => {
  const fleet = fleetOf(12);
  startLimit(fleet, { ...WORKSPACE, ratePerSecond: 10_000, burst: 80_000 });
  let used = 0;
  for (const instance of fleet) used += await admitAll(instance);
  for (const { rates } of fleet) {
    const after = { ...WORKSPACE, ratePerSecond: 10_000, burst: 10_000 };
    rates.setWorkspaces([after], performance.now());
  }
  for (const instance of fleet) used += await admitAll(instance);
  expect(used).toBeLessThanOrEqual(160_000 * 1.1 + 17_000);
});

// Guards against requests above a share that nobody lends.
test("an instance without a share serves a request above a share", async () => {
  const fleet = fleetOf(12);
  startLimit(fleet, { ...WORKSPACE, burst: 900 });
  const without = fleet.find(({ rates }) => rates.states(0)[0]?.share === 0);
  if (without === undefined) throw new Error("all instances have a share");
  expect(isRefusal(await without.take(1000))).toBe(false);
});

// Guards against requests that are held for seconds and then refused, because a
// lender that was lost last reported that it had units.
test("a lender that does not reply is not waited for again and again", async () => {
  await first.take(4500);
  second.responseMs = undefined;
  const startedAt = first.clocks.monotonic;
  for (let i = 0; i < 5; i++) {
    await first.rates.take("w", { units: 1000, waitMaxMs: 3000 });
  }
  expect(first.clocks.monotonic - startedAt).toBeLessThanOrEqual(1000);
});
