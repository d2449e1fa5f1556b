import { EventLog } from "@banyanlb/core";
import { EngineTable, Evacuations } from "@banyanlb/serving";
import pino from "pino";
import { expect, test } from "vitest";
import { EvacuationProgress } from "./evacuation_progress.ts";
import * as events from "./events.ts";

// Operators wait for this line before they switch a zone off.
test("a zone is complete once its last request has ended, and only once", () => {
  const engineTable = new EngineTable();
  engineTable.setEngines([{
    key: "e",
    id: "e",
    service: "svc",
    host: "127.0.0.1",
    port: 1,
    zone: "z",
    slots: 4,
    leaving: false,
    remainingMs: undefined,
    models: [],
  }]);
  const view = engineTable.get("e");
  if (view === undefined) throw new Error("no engine");
  const evacuations = new Evacuations();
  const logged: unknown[] = [];
  const log = new EventLog(pino({}, {
    write: (line: string) => void logged.push(JSON.parse(line)),
  }));
  const progress = new EvacuationProgress({ engineTable, evacuations, log });
  view.inFlight = 2;
  evacuations.replace(["z"], 1000);
  progress.check(1200);
  expect(progress.runningCount).toBe(2);
  expect(logged).toEqual([]);
  view.inFlight = 0;
  progress.check(1800);
  progress.check(2000);
  expect(progress.runningCount).toBe(0);
  expect(logged).toHaveLength(1);
  expect(logged[0]).toMatchObject({
    event: events.EVACUATION_COMPLETE.id,
    zone: "z",
    ms: 800,
  });
  evacuations.replace([], 3000);
  progress.check(3000);
  evacuations.replace(["z"], 4000);
  progress.check(4100);
  expect(logged).toHaveLength(2);
});
