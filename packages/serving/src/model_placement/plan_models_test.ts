import fc from "fast-check";
import { expect, test } from "vitest";
import type { EngineClass } from "../types.ts";
import { type PlacedEngine, planModels } from "./plan_models.ts";

const NONE = new Set<string>();

/** Engines with room for `sizes` and 20 adapters of 10 MB. */
function classOf(
  weightMemoryMb: number,
  sizes: Readonly<Record<string, number>>,
): EngineClass {
  return {
    slots: 8,
    weightMemoryMb,
    adapterSlots: 20,
    models: Object.entries(sizes).map(([name, sizeMb]) => ({
      name,
      sizeMb,
      loadMs: 1000,
      adapterSizeMb: 10,
    })),
  };
}

/** An engine of which one model fills the memory. */
const ONE_EACH = classOf(1000, { m1: 900, m2: 900 });

function engine(
  key: string,
  models: readonly string[],
  rest: Partial<PlacedEngine> = {},
): PlacedEngine {
  return { key, models, adapterMb: 0, load: 0, isUp: true, ...rest };
}

function plan(
  engines: readonly PlacedEngine[],
  { engineClass = ONE_EACH, wanted = NONE } = {},
) {
  return Object.fromEntries(planModels(engines, engineClass, wanted));
}

// LIMIT: each engine of a service was ordered to load its first model, beside what it
// held, and crashed.
test("engines keep the models that they hold", () => {
  const engines = [engine("a", ["m2"]), engine("b", ["m1"])];
  expect(plan(engines)).toEqual({});
  expect(plan(engines, { wanted: new Set(["m1", "m2"]) })).toEqual({});
});

test("with a single model each engine without it is to load it", () => {
  const engineClass = classOf(1000, { m1: 900 });
  const engines = [engine("a", []), engine("b", ["m1"]), engine("c", [])];
  const order = { action: "load", model: "m1" };
  expect(plan(engines, { engineClass })).toEqual({ a: order, c: order });
});

test("a model that does not fit is not loaded", () => {
  const engineClass = classOf(1000, { m1: 1001 });
  expect(plan([engine("a", [])], { engineClass })).toEqual({});
});

test("an engine that holds nothing gets the model that has no engine", () => {
  const engines = [engine("a", ["m1"], { load: 50 }), engine("b", [])];
  expect(plan(engines)).toEqual({ b: { action: "load", model: "m2" } });
});

test("engines that hold nothing share the models that lack engines", () => {
  const engines = ["a", "b", "c"].map((key) => engine(key, []));
  const models = Object.values(plan(engines)).map(({ model }) => model);
  expect(new Set(models)).toEqual(new Set(["m1", "m2"]));
});

test("an engine that holds nothing gets the model whose engines are busiest", () => {
  const engines = [
    engine("a", ["m1"], { load: 3 }),
    engine("b", ["m2"], { load: 8 }),
    engine("c", []),
  ];
  expect(plan(engines)).toEqual({ c: { action: "load", model: "m2" } });
});

// Callers of a model were refused for good once its only engine was lost.
test("a model that is asked for and held nowhere replaces one that others hold", () => {
  const engines = ["a", "b", "c"].map((key) => engine(key, ["m1"]));
  const first = plan(engines, { wanted: new Set(["m2"]) });
  const [[key = "", order] = []] = Object.entries(first);
  expect(Object.keys(first)).toHaveLength(1);
  expect(order).toEqual({ action: "unload", model: "m1" });
  const dropped = engines.map((e) => e.key === key ? engine(key, []) : e);
  expect(plan(dropped)).toEqual({ [key]: { action: "load", model: "m2" } });
});

test("a model is taken from no engine without being asked for another", () => {
  expect(plan([engine("a", ["m1"]), engine("b", ["m1"])])).toEqual({});
});

test("the last engine of a model that replies keeps it", () => {
  const wanted = new Set(["m2"]);
  expect(plan([engine("a", ["m1"])], { wanted })).toEqual({});
  const engines = [engine("a", ["m1"]), engine("b", ["m1"], { isUp: false })];
  expect(plan(engines, { wanted })).toEqual({});
});

test("where there is room a model comes beside another, with its adapters", () => {
  const engineClass = classOf(1000, { m1: 400, m2: 400 });
  const wanted = new Set(["m2"]);
  const order = { action: "load", model: "m2" };
  expect(plan([engine("a", ["m1"])], { engineClass, wanted }))
    .toEqual({ a: order });
  const full = engine("a", ["m1"], { adapterMb: 201 });
  expect(plan([full], { engineClass, wanted })).toEqual({});
});

test("a model that the service does not have any more is dropped", () => {
  const engines = [engine("a", ["old"]), engine("b", ["m1"])];
  expect(plan(engines)).toEqual({ a: { action: "unload", model: "old" } });
});

// Engines are lost, restart empty and are asked for any model, and each plan is
// carried out.
test("no plan exceeds an engine's memory or takes a model from its last engine", () => {
  const names = ["m1", "m2", "m3"];
  const keys = ["a", "b", "c", "d"];
  fc.assert(
    fc.property(
      fc.tuple(...names.map(() => fc.integer({ min: 200, max: 900 }))),
      fc.array(fc.tuple(fc.nat(3), fc.subarray(names)), { maxLength: 12 }),
      (sizesMb, steps) => {
        const sizes = Object.fromEntries(
          names.map((name, i) => [name, sizesMb[i] ?? 0]),
        );
        const engineClass = classOf(1000, sizes);
        const held = new Map(keys.map((key) => [key, new Set<string>()]));
        const engines = () =>
          [...held].map(([key, models]) => engine(key, [...models]));
        for (const [lost, wanted] of steps) {
          held.get(keys[lost] ?? "")?.clear();
          for (let round = 0; round < 4; round += 1) {
            const orders = planModels(engines(), engineClass, new Set(wanted));
            for (const [key, { action, model }] of orders) {
              const models = held.get(key) ?? new Set();
              if (action === "unload") {
                const others = [...held].filter(([other, m]) =>
                  other !== key && m.has(model)
                );
                expect(others.length).toBeGreaterThan(0);
                models.delete(model);
                continue;
              }
              models.add(model);
              const usedMb = [...models].reduce((n, m) => n + sizes[m]!, 0);
              expect(usedMb).toBeLessThanOrEqual(1000);
            }
          }
          // With four engines each of three models has one.
          for (const model of wanted) {
            expect([...held.values()].some((m) => m.has(model))).toBe(true);
          }
        }
      },
    ),
    { numRuns: 400, seed: 58 },
  );
});
