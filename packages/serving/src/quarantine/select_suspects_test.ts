import { expect, test } from "vitest";
import { fitRequests, selectSuspects } from "./select_suspects.ts";

const rank = (suspect: string) => suspect.startsWith("known") ? 1 : 0;

test("suspects of the lowest rank are kept in their order", () => {
  const suspects = ["known1", "a", "known2", "b", "c"];
  expect(selectSuspects(suspects, { count: 4, rank }))
    .toEqual(["known1", "a", "b", "c"]);
  expect(selectSuspects(suspects, { count: 2, rank })).toEqual(["a", "b"]);
  expect(selectSuspects(suspects, { count: 9, rank })).toBe(suspects);
});

test("short prompts stay whole, long ones share the rest", () => {
  const long = (name: string) =>
    Array.from({ length: 10 }, (_, i) => `${name}${i}`);
  const fitted = fitRequests([long("a"), ["b"], long("c")], {
    maxSuspects: 9,
    rank,
  });
  expect(fitted.map((suspects) => suspects.length)).toEqual([4, 1, 4]);
});
