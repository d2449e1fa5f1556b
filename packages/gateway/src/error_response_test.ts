import { expect, test } from "vitest";
import { formatWait } from "./error_response.ts";

// The time was rounded to the nearest hundredth, so that a caller that came back
// in time was refused again.
test("the time to return is never rounded down", () => {
  expect(formatWait(0)).toBe("0.00");
  expect(formatWait(0.5)).toBe("0.50");
  for (const seconds of [0.501, 0.504, 0.5049, 1.2301, 0.291]) {
    expect(Number(formatWait(seconds))).toBeGreaterThanOrEqual(seconds);
    expect(Number(formatWait(seconds))).toBeLessThan(seconds + 0.02);
  }
});
