import { expect, test } from "vitest";
import { runCrashingSoak } from "./crashing_soak.ts";

const SEED = 44;
const SIZE = { gateways: 4, engines: 3, plain: 3 };
const LIMIT_MS = 60_000;

// Guards against a request that ends engine after engine because it has no prompt
// part to be known by.
test(`crashing requests, seed ${SEED}`, { timeout: LIMIT_MS }, async () => {
  const { violations, attempts } = await runCrashingSoak({
    seed: SEED,
    size: SIZE,
  });
  expect(violations).toEqual([]);
  const ranAny = (name: string) =>
    attempts.some(({ repeated, status }) =>
      repeated === name && status !== 503
    );
  for (const kind of ["read", "once", "stream"]) {
    expect([kind, ranAny(`guilty-${kind}`)]).toEqual([kind, true]);
  }
});
