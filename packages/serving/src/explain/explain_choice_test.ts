import { expect, test } from "vitest";
import { LoadForecast } from "../balance/load_forecast.ts";
import { EngineChooser, type SelectionContext } from "../choose_engine.ts";
import { EngineTable } from "../engine_table.ts";
import { explainChoice, formatExplanation } from "./explain_choice.ts";

const NOW = 1000;

const context: SelectionContext = {
  zone: "n1",
  regionOf: (zone) => zone.slice(0, 1),
  isEvacuated: (zone) => zone === "n3",
  canOrder: () => true,
  roomOf: () => "open",
  linkMs: () => 0,
  now: NOW,
};

const requirements = {
  service: "llm",
  model: "m",
  adapter: "a1",
  version: 0,
  oldestVersion: 0,
  excludedEngines: new Set<string>(),
  homes: new Set(["n"]),
  timeLeftMs: 1000,
};

function setUp() {
  const table = new EngineTable();
  table.setEngines(
    ["n1", "n2", "n3", "s1"].map((zone) => ({
      key: `e-${zone}`,
      id: `e-${zone}`,
      service: "llm",
      host: "127.0.0.1",
      port: 1,
      zone,
      slots: 8,
      leaving: false,
      remainingMs: undefined,
      models: [{ name: "m", adapters: [] }],
    })),
  );
  const hold = (key: string) => {
    const view = table.get(key);
    if (view === undefined) throw new Error(`no engine ${key}`);
    view.adapters = new Map([["a1", { version: 1, readyAt: 0 }]]);
    return view;
  };
  const chooser = new EngineChooser(table, new LoadForecast(() => 0));
  return { table, chooser, hold };
}

test("each engine has the rule that leaves it out, or its terms and its chance", () => {
  const { chooser, hold } = setUp();
  for (const key of ["e-n1", "e-n2", "e-n3", "e-s1"]) hold(key);
  hold("e-n1").inFlight = 4;
  const others = { countedAt: NOW - 300, validUntil: Infinity };
  hold("e-n2").setOthersLoad(6, others);
  const explanation = explainChoice(chooser, requirements, context);
  const rows = Object.fromEntries(
    explanation.engines.map((row) => [row.engine, row]),
  );
  expect(explanation).toMatchObject({ decision: "send", engine: "e-n1" });
  expect(rows["e-n3"]).toMatchObject({ excluded: "evacuated", chance: 0 });
  expect(rows["e-s1"]).toMatchObject({ excluded: "residency", chance: 0 });
  expect(rows["e-n2"]).toMatchObject({
    excluded: undefined,
    adapter: "held",
    othersLoad: 6,
    countedMsAgo: 300,
  });
  const chances = explanation.engines.map(({ chance }) => chance);
  expect(chances.reduce((a, b) => a + b, 0)).toBeCloseTo(1);
  const text = formatExplanation(explanation);
  expect(text).toContain("send to e-n1");
  expect(text).toMatch(/e-n3 +n\/n3 +evacuated/);
});

test("a load and a refusal are explained, and nothing is counted", () => {
  const { table, chooser } = setUp();
  const load = explainChoice(chooser, requirements, context);
  expect(load.decision).toBe("load");
  expect(load.engines.find(({ chance }) => chance === 1)?.engine)
    .toBe(load.engine);
  const nowhere = { ...requirements, homes: new Set<string>() };
  expect(explainChoice(chooser, nowhere, context)).toMatchObject({
    decision: "refuse",
    reason: "residency",
    engine: undefined,
  });
  expect([...table.all()].every(({ inFlight }) => inFlight === 0)).toBe(true);
});
