import { memberOf } from "@banyanlb/serving/testing";
import { beforeEach, expect, test } from "vitest";
import {
  createPair,
  isRefusal,
  levelOf,
  RateInstance,
  SHARE_UNITS,
  WINDOW_MS,
  WORKSPACE,
} from "./testing/rate_instance.ts";

let first: RateInstance;
let second: RateInstance;

beforeEach(() => {
  [first, second] = createPair();
});

// Guards against callers of one instance that are refused while another
// instance's share is unused.
test("an instance whose share is used up borrows from another", async () => {
  await first.take(4500);
  expect(isRefusal(await first.take(4000))).toBe(false);
  // Both leave a tenth of their share of the burst to small requests.
  expect(levelOf(first)).toBe(100);
  expect(levelOf(second)).toBe(SHARE_UNITS - 3600);
  const refusal = await first.take(4000);
  expect(refusal).toMatchObject({ left: 100, share: 0.5 });
});

// Guards against rests of shares that nobody can use.
test("what is left of two shares is used for one request", async () => {
  await first.take(4400);
  await second.take(4400);
  expect(isRefusal(await first.take(900))).toBe(false);
  expect([levelOf(first), levelOf(second)]).toEqual([100, 200]);
});

// Guards against asking again and again for units that nobody has.
test("an instance that is known to have too little is not asked", async () => {
  await first.take(4500);
  await first.take(4000);
  expect(await first.take(4000)).toMatchObject({ asked: [] });
});

// Guards against units that stay used at the lender, which nobody could use.
test("a loan without a reply in time is given back", async () => {
  await first.take(4500);
  second.responseMs = undefined;
  expect(await first.take(4000)).toMatchObject({ asked: ["i2"] });
  expect(first.returned).toEqual([1]);
  expect(levelOf(second)).toBe(SHARE_UNITS);
});

// Guards against a loan that is used after the lender has ceased to count it: a
// process that was suspended does not notice by its monotonic clock.
test("a reply that arrives after the end of the loan is not used", async () => {
  await first.take(4500);
  second.responseMs = 5000;
  expect(isRefusal(await first.take(4000))).toBe(true);
  expect(levelOf(second)).toBe(SHARE_UNITS);
});

// Guards against refunds that are lost at the lender.
test("units of a request that did not run return to their lender", async () => {
  await first.take(4500);
  const taken = await first.take(4000);
  if (taken === undefined || !("refund" in taken)) throw new Error("refused");
  taken.refund();
  expect(levelOf(second)).toBe(SHARE_UNITS);
});

// Guards against a process that takes the whole limit for its share, since it
// knows no other instance yet.
test("a process without the list of members has no share, however long", async () => {
  let areMembersKnown = false;
  const third = new RateInstance(memberOf("i3"), () => areMembersKnown);
  third.rates.setWorkspaces([WORKSPACE], 100);
  expect(isRefusal(await third.take(1))).toBe(true);
  third.rates.update(60_000);
  expect(isRefusal(await third.take(1))).toBe(true);
  areMembersKnown = true;
  third.rates.update(60_200);
  expect(isRefusal(await third.take(1))).toBe(false);
});

// Guards against use of an earlier process that its next one does not count.
test("a new process adopts what peers know of the one before", () => {
  second.rates.recordRooms("i1", { w: 700 });
  const restarted = new RateInstance(memberOf("i1"));
  restarted.meet(second);
  restarted.rates.setWorkspaces([WORKSPACE], 100);
  restarted.rates.adoptFormerRooms(second.rates.roomsOf("i1"));
  expect(levelOf(restarted)).toBe(700);
});

// Guards against a share that nobody reported, of which anything may be used.
test("a share of which peers know nothing counts as used", () => {
  expect(second.rates.roomsOf("i1")).toEqual({ w: 0 });
});

test("a workspace without a limit is not limited", async () => {
  expect(await first.rates.take("other", { units: 1, waitMaxMs: 1 }))
    .toBeUndefined();
});

// Guards against the use before a restart of all instances being forgotten.
test("a process adopts the use that the one before kept in the store", async () => {
  await first.take(4000);
  const kept = first.rates.useAt(performance.now());
  const restarted = new RateInstance(memberOf("i1"));
  restarted.meet(second);
  restarted.rates.adoptFormerUse(kept, 0);
  restarted.rates.setWorkspaces([WORKSPACE], 100);
  expect(levelOf(restarted)).toBe(SHARE_UNITS - 4000);
});

// Guards against a third process that finds the entry of a second one, which
// knew no configuration yet.
test("use that was not restored yet is kept for the next process", async () => {
  await first.take(4000);
  const kept = first.rates.useAt(performance.now());
  const second = new RateInstance(memberOf("i1"));
  second.rates.adoptFormerUse(kept, 2500);
  const [latest, before] = second.rates.useAt(performance.now())["w"] ?? [];
  expect([latest, before]).toEqual([0, 4000]);
});

test("use that was kept longer ago than a window does not count", () => {
  const restarted = new RateInstance(memberOf("i1"));
  restarted.rates.adoptFormerUse({ w: [5000] }, WINDOW_MS + 1);
  expect(restarted.rates.useAt(performance.now())).toEqual({});
});
