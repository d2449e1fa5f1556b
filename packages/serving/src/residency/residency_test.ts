import { expect, test } from "vitest";
import { allowsRegion, homeRegionsOf, steeringRegionsOf } from "./residency.ts";

const bound = (...homeRegions: readonly string[]) => ({ homeRegions });
const UNBOUND = { homeRegions: undefined };

test("route and workspace with homes: both bind", () => {
  expect(homeRegionsOf([UNBOUND, undefined])).toBeUndefined();
  expect([...homeRegionsOf([bound("a"), UNBOUND]) ?? []]).toEqual(["a"]);
  expect([...homeRegionsOf([bound("a", "b"), bound("b", "c")]) ?? []])
    .toEqual(["b"]);
  const nowhere = homeRegionsOf([bound("a"), bound("b")]);
  expect(nowhere).toBeDefined();
  expect(allowsRegion(nowhere, "a")).toBe(false);
});

test("a zone whose region is not known is no home", () => {
  expect(allowsRegion(new Set(["a"]), undefined)).toBe(false);
  expect(allowsRegion(undefined, undefined)).toBe(true);
});

test("callers of a host are steered to what all its bound routes share", () => {
  expect(steeringRegionsOf([UNBOUND])).toBeUndefined();
  expect([...steeringRegionsOf([UNBOUND, bound("a", "b"), bound("b")]) ?? []])
    .toEqual(["b"]);
  expect([...steeringRegionsOf([bound("a"), bound("b")]) ?? []])
    .toEqual(["a", "b"]);
});
