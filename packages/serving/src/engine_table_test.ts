import { expect, test } from "vitest";
import { EngineTable } from "./engine_table.ts";
import type { Engine } from "./types.ts";

const ENGINE: Engine = {
  key: "e@1",
  id: "e",
  service: "svc",
  host: "127.0.0.1",
  port: 1,
  zone: "z",
  slots: 8,
  leaving: false,
  remainingMs: undefined,
  models: [],
};

function viewOf(table: EngineTable) {
  const view = table.get(ENGINE.key);
  if (view === undefined) throw new Error("no engine");
  return view;
}

// Guards against a list that shows the engine as usable for as long as nobody
// else has heard that it is leaving.
test("what an engine says of its leaving outlasts changes of its entry", () => {
  const table = new EngineTable();
  table.setEngines([ENGINE], 0);
  expect(viewOf(table).recordLeaving(true, 90, 100)).toBe(true);
  expect(viewOf(table).recordLeaving(true, 110, 120)).toBe(false);
  table.setEngines([{ ...ENGINE, slots: 4 }], 200);
  expect(viewOf(table).engine).toMatchObject({ leaving: true, slots: 4 });
  expect(viewOf(table).leavingSince).toBe(100);
});

test("answers that were under way do not end it; later ones do", () => {
  const table = new EngineTable();
  table.setEngines([ENGINE], 0);
  viewOf(table).recordLeaving(true, 90, 100);
  expect(viewOf(table).recordLeaving(false, 95, 130)).toBe(false);
  expect(viewOf(table).engine.leaving).toBe(true);
  expect(viewOf(table).recordLeaving(false, 140, 150)).toBe(true);
  expect(viewOf(table).engine.leaving).toBe(false);
  expect(viewOf(table).leavingSince).toBeUndefined();
});

// Guards against an order of all engines for each adapter that is computed again
// whenever any engine writes its entry.
test("changes of entries are no change of the set of engines", () => {
  const table = new EngineTable();
  table.setEngines([ENGINE], 0);
  const { setGeneration } = table;
  table.setEngines([{ ...ENGINE, slots: 4 }], 100);
  expect(table.setGeneration).toBe(setGeneration);
  table.setEngines([ENGINE, { ...ENGINE, key: "f@1", id: "f" }], 200);
  expect(table.setGeneration).toBeGreaterThan(setGeneration);
  const { setGeneration: ofTwo } = table;
  table.setEngines([{ ...ENGINE, key: "f@1", id: "f" }], 300);
  expect(table.setGeneration).toBeGreaterThan(ofTwo);
});

// Guards against an answer that makes an engine usable which the list shows as
// leaving.
test("an answer does not end what the list says of an engine's leaving", () => {
  const table = new EngineTable();
  table.setEngines([ENGINE], 0);
  viewOf(table).recordLeaving(true, 90, 100);
  table.setEngines([{ ...ENGINE, leaving: true }], 200);
  viewOf(table).recordLeaving(false, 210, 220);
  expect(viewOf(table).engine.leaving).toBe(true);
  expect(viewOf(table).leavingSince).toBe(100);
});
