import { expect, test } from "vitest";
import { distanceBetween } from "./distance.ts";

test.each([
  ["the same zone", { zone: "z1", region: "r1" }, 0],
  ["another zone of the region", { zone: "z2", region: "r1" }, 1],
  ["another region", { zone: "z3", region: "r2" }, 2],
  ["a zone without a known region", { zone: "z4", region: undefined }, 2],
])("the distance to %s", (_, place, distance) => {
  expect(distanceBetween({ zone: "z1", region: "r1" }, place)).toBe(distance);
});
