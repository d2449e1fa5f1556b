import { expect, test } from "vitest";
import { EngineLimits } from "../engine_limits.ts";

const ENGINE = "e1@1";

/** Plays a brittle engine that has no room, before instances that would all send
 * it requests at once. Returns the most refusals in a second, and their sum. */
function playFullEngine(instanceCount: number, refusalsMax: number) {
  const names = Array.from({ length: instanceCount }, (_, i) => `i${i}`);
  const fleet = names.map((name) => ({
    limits: new EngineLimits(name, () => ({ names, isCutOff: false })),
    /** When its waiting requests are turned away. */
    waiting: [] as number[],
  }));
  for (const { limits } of fleet) {
    limits.recordBrittle(ENGINE, refusalsMax, { wasTurnedAway: false, now: 0 });
  }
  const refusals: number[] = [];
  for (let now = 0; now < 20_000; now += 10) {
    for (const instance of fleet) {
      const { limits } = instance;
      for (const at of instance.waiting) {
        if (at > now) continue;
        refusals.push(now);
        const options = { wasTurnedAway: true, now };
        limits.recordBrittle(ENGINE, refusalsMax, options);
      }
      instance.waiting = instance.waiting.filter((at) => at > now);
      for (let i = 0; i < 3; i += 1) {
        const { length } = instance.waiting;
        if (limits.roomOf(ENGINE, now, length) === "closed") break;
        instance.waiting.push(now + 150);
      }
    }
  }
  const most = Math.max(
    ...refusals.map((start) =>
      refusals.filter((at) => at >= start && at < start + 1000).length
    ),
  );
  return { most, sum: refusals.length };
}

// Pattern of load: more requests than brittle engines have room for, at all
// instances. Nothing read what the engines say, so each of them ended.
test.each([[8, 20], [8, 8], [8, 3], [60, 5], [60, 90]])(
  "%i instances let an engine turn away at most %i requests a second",
  (instanceCount, refusalsMax) => {
    const { most, sum } = playFullEngine(instanceCount, refusalsMax);
    expect(most).toBeLessThanOrEqual(refusalsMax);
    // It is still tried.
    expect(sum).toBeGreaterThan(5);
  },
);

test("an engine that is not brittle any more is used as before", () => {
  const limits = new EngineLimits("a", () => ({
    names: ["a", "b"],
    isCutOff: false,
  }));
  const record = (refusalsMax: number | undefined) =>
    limits.recordBrittle(ENGINE, refusalsMax, { wasTurnedAway: false, now: 0 });
  expect(record(4)).toBe(true);
  expect(record(4)).toBe(false);
  expect(limits.roomOf(ENGINE, 0, 1)).toBe("open");
  expect(limits.roomOf(ENGINE, 0, 2)).toBe("closed");
  expect(record(undefined)).toBe(true);
  expect(limits.roomOf(ENGINE, 0, 50)).toBe("open");
});
