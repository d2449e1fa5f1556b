import type { EngineRecord } from "@banyanlb/platform/stand_in";
import { expect, test } from "vitest";
import type { SoakObservations } from "./checks.ts";
import { checkColdEngines, checkEvacuations } from "./place_checks.ts";

const start: EngineRecord = { t: "start", engine: "e1", at: 0, zone: "z" };

function run(at: number): EngineRecord {
  return {
    t: "run",
    engine: "e1",
    at,
    id: `r${at}`,
    workspace: "w",
    model: undefined,
    path: "/",
    sawKey: false,
    isCrashing: false,
  };
}

function observe(records: readonly EngineRecord[]): SoakObservations {
  return {
    attempts: [],
    records,
    orderGapMs: 1000,
    recoveredFromMs: 0,
    calmFromMs: 1000,
    limits: { workspace: "other", windowMs: 8000, changes: [] },
    evacuations: [{ zone: "z", acceptedAt: 2000, endedAt: 9000 }],
  };
}

test("reports requests in a zone that was evacuated long before", () => {
  expect(checkEvacuations(observe([start, run(6900), run(9100)]))).toEqual([]);
  expect(checkEvacuations(observe([start, run(7100)]))).toEqual([
    "1 requests ran in z, which was evacuated",
  ]);
});

test("reports a cold engine that got more in a second than it bears", () => {
  const cold: EngineRecord = { t: "cold", engine: "e1", at: 1000, ms: 2000 };
  const runs = (count: number, stepMs: number) =>
    Array.from({ length: count }, (_, i) => run(1000 + i * stepMs));
  expect(checkColdEngines(observe([cold, ...runs(20, 100)]))).toEqual([]);
  expect(checkColdEngines(observe([cold, ...runs(13, 50)]))).toHaveLength(1);
  expect(checkColdEngines(observe(runs(13, 50)))).toEqual([]);
});
