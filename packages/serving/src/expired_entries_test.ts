import { expect, test } from "vitest";
import { keepExpiredUntil } from "./expired_entries.ts";

test("entries that expired in an outage are kept for two seconds after it", () => {
  expect(
    keepExpiredUntil({ leaving: false, storeTransitionAt: 1000, now: 1500 }),
  )
    .toBe(3100);
});

test("an entry that is removed seconds after the store's recovery is dropped at once", () => {
  expect(
    keepExpiredUntil({ leaving: false, storeTransitionAt: 1000, now: 4700 }),
  )
    .toBeUndefined();
});

test("a leaving engine is dropped with its entry", () => {
  expect(
    keepExpiredUntil({ leaving: true, storeTransitionAt: 1000, now: 1500 }),
  )
    .toBeUndefined();
});
