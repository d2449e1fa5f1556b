import { expect, test } from "vitest";
import { fitPrompts, selectParts } from "./select_parts.ts";

const rank = (part: string) => part.startsWith("known") ? 1 : 0;

test("parts of the lowest rank are kept in their order", () => {
  const parts = ["known1", "a", "known2", "b", "c"];
  expect(selectParts(parts, { count: 4, rank }))
    .toEqual(["known1", "a", "b", "c"]);
  expect(selectParts(parts, { count: 2, rank })).toEqual(["a", "b"]);
  expect(selectParts(parts, { count: 9, rank })).toBe(parts);
});

test("short prompts stay whole, long ones share the rest", () => {
  const long = (name: string) =>
    Array.from({ length: 10 }, (_, i) => `${name}${i}`);
  const fitted = fitPrompts([long("a"), ["b"], long("c")], {
    maxParts: 9,
    rank,
  });
  expect(fitted.map((parts) => parts.length)).toEqual([4, 1, 4]);
});
