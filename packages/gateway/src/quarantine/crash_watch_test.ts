import { EventLog } from "@banyanlb/core";
import {
  type Engine,
  type EngineProbe,
  EngineView,
  Quarantine,
} from "@banyanlb/serving";
import pino from "pino";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { CrashWatch } from "./crash_watch.ts";
import { GatewayMetrics } from "../metrics.ts";
import { RequestGuard } from "./request_guard.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function createView(key: string, leaving = false): EngineView {
  const engine: Engine = {
    key,
    id: key,
    service: "svc",
    host: "h",
    port: 1,
    zone: "z",
    slots: 8,
    leaving,
    remainingMs: undefined,
    models: [],
  };
  return new EngineView(engine);
}

function createWatch(probe: EngineProbe) {
  const lines: Readonly<Record<string, unknown>>[] = [];
  const log = new EventLog(pino({}, {
    write: (line: string) => void lines.push(JSON.parse(line)),
  }));
  const quarantine = new Quarantine("i1", {
    onHold: () => undefined,
    onRelease: () => undefined,
    settleMs: () => 0,
  });
  let probes = 0;
  const watch = new CrashWatch({
    quarantine,
    control: {
      probe: () => {
        probes += 1;
        return Promise.resolve(probe);
      },
    },
    log,
    metrics: new GatewayMetrics(),
  });
  return { watch, quarantine, lines, log, probes: () => probes };
}

const cut = (id: string, suspects: readonly string[], isSuspect = true) => ({
  id,
  suspects,
  isSuspect,
});

test("a crash has all requests of the engine that were cut off", async () => {
  const { watch, quarantine, lines, probes } = createWatch("ended");
  const view = createView("e1@1");
  watch.recordCut(view, cut("r1", ["a", "b"]));
  watch.recordCut(view, cut("r2", ["a"], false));
  await vi.advanceTimersByTimeAsync(20);
  watch.recordCut(view, cut("r3", ["c"]));
  await vi.advanceTimersByTimeAsync(2000);
  expect(probes()).toBe(1);
  expect(quarantine.beliefOn("b").crashes).toBe(1);
  expect(quarantine.beliefOn("c").crashes).toBe(1);
  expect(lines).toMatchObject([{
    event: 846,
    engine: "e1@1",
    cut: 3,
    suspects: [
      { id: "r1", parts: ["a 1/0", "b 1/0"] },
      { id: "r3", parts: ["c 1/0"] },
    ],
    others: ["r2"],
  }]);
});

// A reset of one connection, or an engine that is cut off, is no crash.
test.each(["running", "unknown"] as const)(
  "requests that break off are no crash if the engine is %s",
  async (probe) => {
    const { watch, quarantine, lines } = createWatch(probe);
    for (let i = 0; i < 5; i += 1) {
      watch.recordCut(createView("e1@1"), cut(`r${i}`, ["a"]));
      await vi.advanceTimersByTimeAsync(3000);
    }
    expect(quarantine.beliefOn("a").crashes).toBe(0);
    expect(lines).toEqual([]);
  },
);

test("an engine that answers no probe has crashed if it leaves the list", async () => {
  const { watch, quarantine, lines } = createWatch("unknown");
  watch.recordCut(createView("e1@1"), cut("r1", ["a"]));
  await vi.advanceTimersByTimeAsync(3000);
  watch.recordEngineList(() => true);
  expect(quarantine.beliefOn("a").crashes).toBe(0);
  watch.recordEngineList(() => false);
  expect(quarantine.beliefOn("a").crashes).toBe(1);
  await vi.advanceTimersByTimeAsync(200);
  expect(lines).toMatchObject([{ event: 846, engine: "e1@1", cut: 1 }]);
});

test("an engine that still ran has not crashed if it leaves the list", async () => {
  const { watch, quarantine } = createWatch("running");
  watch.recordCut(createView("e1@1"), cut("r1", ["a"]));
  await vi.advanceTimersByTimeAsync(3000);
  watch.recordEngineList(() => false);
  expect(quarantine.beliefOn("a").crashes).toBe(0);
});

test("a leaving engine that ends has not crashed", async () => {
  const { watch, quarantine, probes } = createWatch("ended");
  watch.recordCut(createView("e1@1", true), cut("r1", ["a"]));
  await vi.advanceTimersByTimeAsync(2000);
  expect(probes()).toBe(0);
  expect(quarantine.beliefOn("a").crashes).toBe(0);
});

// Guards against suspects that come too late for the peers who wait for them.
test("a crash that a peer reports is confirmed before the engine leaves the list", async () => {
  const { watch, quarantine } = createWatch("unknown");
  const view = createView("e1@1");
  watch.recordCut(view, cut("r1", ["a"]));
  await vi.advanceTimersByTimeAsync(300);
  expect(quarantine.beliefOn("a").crashes).toBe(0);
  watch.recordPeerCrash("e1@1");
  watch.recordPeerCrash("e2@1");
  expect(quarantine.beliefOn("a").crashes).toBe(1);
});

// Guards against the loss of the requests that ended an engine: through a proxy that
// accepts for it, others break off there until it leaves the list.
test("the requests cut off first count although others break off later", async () => {
  const { watch, quarantine, lines } = createWatch("unknown");
  watch.recordCut(createView("e1@1"), cut("r1", ["a"]));
  await vi.advanceTimersByTimeAsync(1200);
  watch.recordCut(createView("e1@1"), cut("r2", ["b"]));
  await vi.advanceTimersByTimeAsync(800);
  watch.recordEngineList(() => false);
  await vi.advanceTimersByTimeAsync(200);
  expect(lines).toMatchObject([{ event: 846, engine: "e1@1", cut: 2 }]);
  expect(quarantine.beliefOn("a").crashes).toBe(1);
});

// Guards against a sound request that is given up while engines leave one by one.
test("an engine that leaves does not count among those that cut a request off", () => {
  const { watch, quarantine, log } = createWatch("unknown");
  const guard = new RequestGuard({
    quarantine,
    crashWatch: watch,
    instances: () => ({ names: ["i1"], isCutOff: false }),
    log,
    metrics: new GatewayMetrics(),
  }, {
    id: "r1",
    sharedParts: [],
    engines: () => [],
    identity: {
      method: "GET",
      host: "h",
      path: "/",
      workspace: undefined,
      model: undefined,
      adapter: undefined,
      prompt: "",
      body: undefined,
    },
  });
  const leaving = createView("e1@1", true);
  guard.recordCut(leaving);
  expect(guard.mayRepeat(leaving)).toBe(true);
  const second = createView("e2@1");
  guard.recordCut(second);
  expect(guard.mayRepeat(second)).toBe(true);
});
