import { expect, test } from "vitest";
import { EngineView } from "../engine_table.ts";
import { type Exclusion, screenEngines } from "./screen_engines.ts";

function view(id: string, zone = "a1"): EngineView {
  return new EngineView({
    key: id,
    id,
    service: "llm",
    host: "127.0.0.1",
    port: 1,
    zone,
    slots: 4,
    leaving: false,
    remainingMs: undefined,
    models: [],
  });
}

const context = {
  regionOf: (zone: string) => zone.slice(0, 1),
  roomOf: () => "open" as const,
  linkMs: () => 0,
  now: 0,
};
const requirements = { excludedEngines: new Set<string>(), timeLeftMs: 1000 };

test("each engine that is ruled out is named with the first rule that does", () => {
  const views = [view("home"), view("away", "b1"), view("dark", "a2")];
  const excluded: [string, Exclusion][] = [];
  const screening = screenEngines(
    [...views, view("tried", "b1")],
    {
      ...requirements,
      excludedEngines: new Set(["tried"]),
      homes: new Set("a"),
    },
    {
      ...context,
      isEvacuated: (zone) => zone === "a2",
      onExcluded: ({ engine }, exclusion) =>
        void excluded.push([engine.id, exclusion]),
    },
  );
  expect(screening).toEqual({ kind: "usable", views: views.slice(0, 1) });
  expect(excluded).toEqual([
    ["tried", "tried"],
    ["away", "residency"],
    ["dark", "evacuated"],
  ]);
});

test("a preference is dropped if no engine meets it, a rule never is", () => {
  const views = [view("e1"), view("e2")];
  for (const each of views) each.down = true;
  expect(screenEngines(views, requirements, context)).toEqual({
    kind: "usable",
    views,
  });
  expect(
    screenEngines(views, requirements, { ...context, isEvacuated: () => true }),
  ).toEqual({ kind: "none", reason: "evacuated" });
  expect(
    screenEngines(views, { ...requirements, homes: new Set("z") }, context),
  ).toEqual({ kind: "none", reason: "residency" });
});
