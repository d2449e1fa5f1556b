import { expect, test } from "vitest";
import { hasTrialTurn } from "./trial_turn.ts";

const names = Array.from({ length: 8 }, (_, i) => `i${i}`);
const instances = { names, isCutOff: false };

function holdersAt(dueMs: number): readonly string[] {
  return names.filter((name) =>
    hasTrialTurn(name, instances, { suspect: "bad", dueMs })
  );
}

test("at most one instance has the turn, and each has it in time", () => {
  const holders = new Set<string>();
  for (let dueMs = 0; dueMs < 40_000; dueMs += 100) {
    const now = holdersAt(dueMs);
    expect(now.length).toBeLessThanOrEqual(1);
    for (const name of now) holders.add(name);
  }
  expect(holders.size).toBe(8);
});

test("no other instance has the turn within the delay of a digest", () => {
  for (let dueMs = 0; dueMs < 40_000; dueMs += 100) {
    const early = holdersAt(dueMs);
    const late = holdersAt(dueMs + 1400);
    if (early.length > 0 && late.length > 0) expect(late).toEqual(early);
  }
});

test("an instance that is cut off has no turn", () => {
  for (const name of names) {
    expect(
      hasTrialTurn(name, { names, isCutOff: true }, {
        suspect: "bad",
        dueMs: 0,
      }),
    ).toBe(false);
  }
});
