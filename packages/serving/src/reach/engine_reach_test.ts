import { expect, test } from "vitest";
import { EngineReach } from "./engine_reach.ts";

const ENGINES = ["e0", "e1", "e2", "e3", "e4", "e5"];

/** An instance that has something waiting at each engine, and hears of all. */
function createReach(): EngineReach {
  const reach = new EngineReach();
  for (const engine of ENGINES) {
    reach.expect(engine, "svc", 0);
    reach.recordHeard(engine, 1000);
  }
  return reach;
}

// Guards against an instance that goes on to ask engines which it does not reach.
test("an instance whose engines are all silent is cut within a second", () => {
  const reach = createReach();
  expect(reach.update(1500)).toEqual([]);
  expect(reach.update(1600)).toMatchObject([
    { service: "svc", isCut: true, openCount: 0 },
  ]);
  expect(reach.isCut("svc")).toBe(true);
  expect(reach.isCut("other")).toBe(false);
});

test("connections that are refused by most engines cut the instance, though old ones live", () => {
  const reach = createReach();
  for (const engine of ENGINES.slice(0, 5)) {
    reach.recordConnection(engine, false, 1100);
  }
  for (const engine of ENGINES) reach.recordHeard(engine, 1200);
  reach.update(1300);
  expect(reach.isCut("svc")).toBe(true);
});

// Guards against callers who are sent elsewhere since one engine is slow, or some
// have crashed.
test("a few engines that are silent or gone are no cut", () => {
  for (const silent of [1, 2, 3]) {
    const reach = createReach();
    for (const engine of ENGINES.slice(silent)) reach.recordHeard(engine, 1900);
    for (const engine of ENGINES.slice(0, silent)) {
      reach.recordConnection(engine, false, 1900);
    }
    expect(reach.update(2000)).toEqual([]);
  }
});

test("an instance that asks nothing is not cut", () => {
  const reach = new EngineReach();
  const expectations = ENGINES.map((engine) => reach.expect(engine, "svc", 0));
  for (const expectation of expectations) reach.end(expectation);
  expect(reach.update(10_000)).toEqual([]);
});

test("the path is back when two engines have answered on new connections", () => {
  const reach = createReach();
  reach.update(2000);
  reach.recordTry("e0", "svc", 2500);
  reach.update(3000);
  expect(reach.isCut("svc")).toBe(true);
  // The same once more, and another one when the first is long ago.
  reach.recordTry("e0", "svc", 3100);
  reach.update(3200);
  expect(reach.isCut("svc")).toBe(true);
  reach.recordTry("e2", "svc", 6200);
  reach.update(6200);
  expect(reach.isCut("svc")).toBe(true);
  reach.recordTry("e3", "svc", 6600);
  expect(reach.update(6600)).toMatchObject([{ isCut: false }]);
  expect(reach.isCutOff).toBe(false);
  // What had waited for long shows nothing any more.
  expect(reach.update(7600)).toEqual([]);
});

// Guards against a path that seems to be back since something between takes
// connections, and against bytes of old connections, for new ones are refused.
test("neither new connections nor bytes of old ones show that the path is back", () => {
  const reach = createReach();
  for (const engine of ENGINES) reach.recordConnection(engine, true, 1500);
  reach.update(1700);
  expect(reach.isCut("svc")).toBe(true);
  for (const engine of ENGINES) {
    reach.recordConnection(engine, true, 1800);
    reach.recordHeard(engine, 1800);
  }
  reach.update(1900);
  expect(reach.isCut("svc")).toBe(true);
});
