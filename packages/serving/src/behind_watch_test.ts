import { expect, test } from "vitest";
import { BehindWatch } from "./behind_watch.ts";

test("a peer that stays ahead is asked", () => {
  const watch = new BehindWatch();
  expect(watch.note({ mine: 5, theirs: 7, now: 0 })).toBe(false);
  expect(watch.note({ mine: 5, theirs: 7, now: 200 })).toBe(false);
  expect(watch.note({ mine: 5, theirs: 7, now: 400 })).toBe(true);
});

test("peers that are cut off as well do not put the time back", () => {
  const watch = new BehindWatch();
  for (let now = 0; now < 400; now += 100) {
    watch.note({ mine: 5, theirs: 7, now });
    watch.note({ mine: 5, theirs: 5, now: now + 50 });
  }
  expect(watch.note({ mine: 5, theirs: 7, now: 400 })).toBe(true);
});

test("a watch that catches up by itself asks nobody", () => {
  const watch = new BehindWatch();
  watch.note({ mine: 5, theirs: 7, now: 0 });
  expect(watch.note({ mine: 7, theirs: 7, now: 500 })).toBe(false);
  expect(watch.note({ mine: 7, theirs: 8, now: 600 })).toBe(false);
});
