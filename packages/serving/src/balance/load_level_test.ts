import { expect, test } from "vitest";
import { levelOf, pickByLevel } from "./load_level.ts";

const low = { name: "low", base: 0, capacity: 10 };
const middle = { name: "middle", base: 0.5, capacity: 10 };
const high = { name: "high", base: 2, capacity: 10 };

test("arrivals fill the lowest first, up to one level", () => {
  expect(levelOf([high, low, middle], 3)).toBeCloseTo(0.3);
  expect(levelOf([high, low, middle], 10)).toBeCloseTo(0.75);
  expect(levelOf([high, low, middle], 45)).toBeCloseTo(7 / 3);
});

test("an entry is picked by its part of the arrivals", () => {
  const pick = (arrivals: number, sample: number) =>
    pickByLevel([low, middle, high], { arrivals, sample })?.name;
  expect(pick(0, 0.9)).toBe("low");
  expect(pick(3, 0.99)).toBe("low");
  // 7.5 of 10 arrivals go to the lowest, 2.5 to the next.
  expect(pick(10, 0.74)).toBe("low");
  expect(pick(10, 0.76)).toBe("middle");
  expect(pickByLevel([], { arrivals: 1, sample: 0 })).toBeUndefined();
});
