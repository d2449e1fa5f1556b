import { expect, test } from "vitest";
import { keepLapsedUntil } from "./lapsed_entries.ts";

test("entries that lapsed in an outage are kept for two seconds after it", () => {
  expect(keepLapsedUntil({ leaving: false, troubleAt: 1000, now: 1500 }))
    .toBe(3100);
});

test("an entry removed seconds after the store's return is gone at once", () => {
  expect(keepLapsedUntil({ leaving: false, troubleAt: 1000, now: 4700 }))
    .toBeUndefined();
});

test("an engine that said it leaves is gone with its entry", () => {
  expect(keepLapsedUntil({ leaving: true, troubleAt: 1000, now: 1500 }))
    .toBeUndefined();
});
