import { expect, test } from "vitest";
import type { Engine } from "../types.ts";
import { type WarmUp, WarmUps } from "./warm_ups.ts";

const TERMS = { durationMs: 3000, requestsPerSecond: 13 };
const REPORTER = { isStoreReader: true };

function engine(key: string, fields: Partial<Engine> = {}): Engine {
  return {
    key,
    id: key,
    service: "llm",
    host: "127.0.0.1",
    port: 1,
    zone: "a",
    slots: 8,
    leaving: false,
    remainingMs: undefined,
    models: [],
    ...fields,
  };
}

function setUp() {
  const started: WarmUp[] = [];
  const warmUps = new WarmUps({
    termsOf: (service) => service === "llm" ? TERMS : undefined,
    onWarmUp: (warmUp) => void started.push(warmUp),
  });
  return { warmUps, started };
}

test("an engine is cold for as long as its newest entry says", () => {
  const { warmUps, started } = setUp();
  const enter = (coldMs: number, revision: number, now: number) =>
    warmUps.recordEntries([engine("e", { coldMs, revision })], now);
  enter(0, 1, 0);
  expect(warmUps.leftMs("e", 0)).toBe(0);
  // It became cold again while it was running.
  enter(2500, 2, 1000);
  expect(warmUps.leftMs("e", 1000)).toBe(2500);
  // The same entry says nothing new when another engine's changes.
  enter(2500, 2, 3000);
  expect(warmUps.leftMs("e", 3000)).toBe(500);
  expect(warmUps.count(3000)).toBe(1);
  expect(warmUps.leftMs("e", 3500)).toBe(0);
  expect(started).toEqual([{ engine: "e", source: "entry", leftMs: 2500 }]);
  warmUps.recordEntries([], 3600);
  expect(warmUps.count(3600)).toBe(0);
});

test("an engine that joins without a time is cold, but not those before it", () => {
  const { warmUps } = setUp();
  warmUps.recordEntries([engine("old")], 0);
  warmUps.recordEntries([
    engine("old"),
    engine("new"),
    engine("api", { service: "api" }),
  ], 500);
  expect(warmUps.leftMs("old", 500)).toBe(0);
  expect(warmUps.leftMs("new", 500)).toBe(TERMS.durationMs);
  expect(warmUps.leftMs("api", 500)).toBe(0);
});

test("what the engine said last counts, from whichever instance it comes", () => {
  const { warmUps } = setUp();
  warmUps.recordEntries([engine("e", { coldMs: 0, revision: 1 })], 0);
  warmUps.recordTold("e", { leftMs: 2000, at: 1000, source: "peer" }, 1400);
  expect(warmUps.leftMs("e", 1400)).toBe(1600);
  // A report of a peer that is older must not end it.
  warmUps.recordTold("e", { leftMs: 0, at: 900, source: "peer" }, 1500);
  expect(warmUps.leftMs("e", 1500)).toBe(1500);
  // An entry may have been written before.
  warmUps.recordEntries([engine("e", { coldMs: 0, revision: 2 })], 1600);
  expect(warmUps.leftMs("e", 1600)).toBe(1400);
  warmUps.recordTold("e", { leftMs: 0, at: 1700, source: "engine" }, 1700);
  expect(warmUps.leftMs("e", 1700)).toBe(0);
  warmUps.recordTold("gone", { leftMs: 9, at: 1700, source: "peer" }, 1700);
  expect(warmUps.count(1700)).toBe(0);
});

test("zones that return are taken for cold, whatever their entries say", () => {
  const { warmUps } = setUp();
  const engines = [engine("e", { coldMs: 0, revision: 1 })];
  warmUps.recordEntries(engines, 0);
  warmUps.recordReturn(engines, 1000);
  warmUps.recordEntries([engine("e", { coldMs: 0, revision: 2 })], 1100);
  expect(warmUps.leftMs("e", 1100)).toBe(2900);
});

test("only first-hand knowledge is reported, with the time that is left", () => {
  const { warmUps } = setUp();
  warmUps.recordEntries([
    engine("entry", { coldMs: 3000, revision: 1 }),
    engine("peer", { coldMs: 0, revision: 2 }),
    engine("told", { coldMs: 0, revision: 3 }),
  ], 0);
  warmUps.recordTold("peer", { leftMs: 900, at: 100, source: "peer" }, 100);
  warmUps.recordTold("told", { leftMs: 900, at: 100, source: "engine" }, 100);
  const namesOf = (isStoreReader: boolean) =>
    warmUps.report(200, { isStoreReader }).map(([key]) => key);
  expect(namesOf(true)).toEqual(["entry", "told"]);
  expect(namesOf(false)).toEqual(["told"]);
  expect(warmUps.report(1000, REPORTER)).toEqual([["entry", 6, 2000]]);
});
