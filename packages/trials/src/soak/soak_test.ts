import { expect, test } from "vitest";
import { runSoak } from "./soak.ts";

const SEED = 20_261_204;
const LIMIT_MS = 180_000;

/** Seeds that failed in the past, each with its cause. */
const REGRESSIONS: readonly number[] = [];

test(`guarantees hold under faults, seed ${SEED}`, {
  timeout: LIMIT_MS * (1 + REGRESSIONS.length),
}, async () => {
  for (const seed of [SEED, ...REGRESSIONS]) {
    const result = await runSoak({
      seed,
      faultPhaseMs: 6000,
      size: { gateways: 4, engines: 3, plain: 2 },
    });
    expect({ seed, violations: result.violations }).toEqual({
      seed,
      violations: [],
    });
    expect(result.served).toBeGreaterThan(100);
  }
});
