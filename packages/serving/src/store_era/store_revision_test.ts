import { expect, test } from "vitest";
import {
  ERA_MAX,
  eraOf,
  FIRST_ERA,
  numberOf,
  NUMBERS_PER_ERA,
  storeRevision,
} from "./store_revision.ts";

test("revisions of the first era are the store's numbers", () => {
  expect(storeRevision(FIRST_ERA, 250)).toBe(250);
  expect(eraOf(250)).toBe(FIRST_ERA);
});

// Guards against revisions of two eras that are compared by the number alone.
test("a later era is higher, whatever the numbers are", () => {
  const last = storeRevision(2, NUMBERS_PER_ERA - 1);
  const next = storeRevision(3, 1);
  expect(next).toBeGreaterThan(last);
  expect([eraOf(last), eraOf(next)]).toEqual([2, 3]);
  expect([numberOf(last), numberOf(next)]).toEqual([NUMBERS_PER_ERA - 1, 1]);
});

test("the highest revision of the last era is exact", () => {
  const highest = storeRevision(ERA_MAX, NUMBERS_PER_ERA - 1);
  expect(Number.isSafeInteger(highest)).toBe(true);
  expect(highest - 1).not.toBe(highest);
  expect(eraOf(highest)).toBe(ERA_MAX);
});
