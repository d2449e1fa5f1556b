import { expect, test } from "vitest";
import { LoanSearch, RateLenders } from "./rate_lenders.ts";
import { memberOf } from "./testing/member_of.ts";

const FULL_ROOM = 10_000;

const SELF = memberOf("self", { zone: "z1", region: "r1" });
const NEAR = memberOf("near", { zone: "z1", region: "r1" });
const REGION = memberOf("region", { zone: "z2", region: "r1" });
const FAR = memberOf("far", { zone: "z3", region: "r2" });
const SHARERS = [SELF, FAR, REGION, NEAR];

function createLenders(): RateLenders {
  return new RateLenders(SELF, () => 0.5);
}

function search(
  lenders: RateLenders,
  { units = 1000, waitMaxMs = 1000, sharers = SHARERS } = {},
): LoanSearch {
  return new LoanSearch(lenders, sharers, {
    workspace: "w",
    units,
    fullRoom: FULL_ROOM,
    waitMaxMs,
  });
}

// Guards against questions that cross the links between regions in vain.
test("instances nearby are asked first, and none twice", () => {
  const loans = search(createLenders());
  const names = [0, 1, 2, 3].map(() => loans.next(0)?.lender.name);
  expect(names).toEqual(["near", "region", "far", undefined]);
});

// Guards against a flood of questions while the limit is used up.
test("instances that are known to have too little are not asked", () => {
  const lenders = createLenders();
  for (const { name } of SHARERS) lenders.recordRoom("w", name, 999);
  expect(search(lenders).next(0)).toBeUndefined();
});

// Guards against a slow instance that makes every request wait for it.
test("an instance that answers late is asked after others", () => {
  const lenders = createLenders();
  const first = search(lenders);
  const offer = first.next(0);
  if (offer?.lender !== NEAR) throw new Error("near was not asked");
  first.accept(offer, { reply: undefined, elapsedMs: offer.validMs });
  expect(search(lenders).next(0)?.lender).toBe(REGION);
});

// Guards against a path that is late for long and never gets enough time.
test("the time for a slow instance grows until it is enough", () => {
  const lenders = createLenders();
  const onlyFar = { sharers: [FAR], waitMaxMs: 5000 };
  const given: number[] = [];
  for (let i = 0; i < 3; i++) {
    lenders.recordRoom("w", "far", FULL_ROOM);
    const loans = search(lenders, onlyFar);
    const offer = loans.next(0);
    if (offer === undefined) throw new Error("nobody was asked");
    given.push(offer.validMs);
    loans.accept(offer, { reply: undefined, elapsedMs: offer.validMs });
  }
  expect(given).toEqual([250, 1000, 3000]);
});

test("no instance is asked once the request has no time left", () => {
  expect(search(createLenders(), { waitMaxMs: 100 }).next(100)).toBeUndefined();
});

test("a reply after the end of the loan does not count", () => {
  const loans = search(createLenders());
  const offer = loans.next(0);
  if (offer === undefined) throw new Error("nobody was asked");
  const reply = { ok: true, room: 5000 };
  const elapsedMs = offer.validMs + 1;
  expect(loans.accept(offer, { reply, elapsedMs })).toBe(false);
  const next = loans.next(0);
  if (next === undefined) throw new Error("nobody was asked");
  expect(loans.accept(next, { reply, elapsedMs: 10 })).toBe(true);
});
