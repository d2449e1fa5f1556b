import { expect, test } from "vitest";
import { keepExpiredUntil } from "./lapsed_entries.ts";

test("entries that lapsed in an outage are kept for two seconds after it", () => {
  expect(
    keepExpiredUntil({ leaving: false, storeTransitionAt: 1000, now: 1500 }),
  )
    .toBe(3100);
});

test("an entry removed seconds after the store's return is gone at once", () => {
  expect(
    keepExpiredUntil({ leaving: false, storeTransitionAt: 1000, now: 4700 }),
  )
    .toBeUndefined();
});

test("an engine that said it leaves is gone with its entry", () => {
  expect(
    keepExpiredUntil({ leaving: true, storeTransitionAt: 1000, now: 1500 }),
  )
    .toBeUndefined();
});
