import { EventLog } from "@banyanlb/core";
import { EngineTable } from "@banyanlb/serving";
import { engineOf } from "@banyanlb/serving/testing";
import pino from "pino";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { ReachWatch } from "./reach_watch.ts";

const TICK_MS = 200;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

// Guards against a path that is back for long before it is noticed, since some
// engines were lost meanwhile.
test.each([1, 2, 5])(
  "a path that is back is noticed soon though %i of 7 engines are gone",
  async (goneCount) => {
    const keys = Array.from({ length: 7 }, (_, i) => `e${i}`);
    const engineTable = new EngineTable();
    engineTable.setEngines(keys.map((key) => engineOf(key)));
    let hasPath = false;
    let tries = 0;
    const watch = new ReachWatch({
      engineTable,
      control: {
        answersAnew: ({ id }) => {
          tries += 1;
          return Promise.resolve(hasPath && Number(id[1]) >= goneCount);
        },
      },
      onChange: () => undefined,
      log: new EventLog(pino({ level: "silent" })),
    });
    const pass = async (ms: number) => {
      for (let t = 0; t < ms; t += TICK_MS) {
        await vi.advanceTimersByTimeAsync(TICK_MS);
        watch.check(performance.now());
        await vi.advanceTimersByTimeAsync(0);
      }
    };
    await pass(1000);
    for (const key of keys) watch.reach.expect(key, "svc", performance.now());
    await pass(4000);
    expect(watch.reach.isCutOff).toBe(true);
    expect(tries).toBeLessThan(12);
    hasPath = true;
    await pass(7 * 400 + 600);
    expect(watch.reach.isCutOff).toBe(false);
  },
);
