import { ManualClock } from "@banyanlb/core";
import { expect, test } from "vitest";
import { PauseWatch } from "./pause_watch.ts";

const PAUSE_MS = 2_500;

async function advance(clock: ManualClock, ms: number): Promise<void> {
  for (let i = 0; i < ms; i += 10) {
    clock.advance(10);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

async function startWatch() {
  const clock = new ManualClock();
  const pause_watch = new PauseWatch(clock);
  pause_watch.start();
  await advance(clock, 1_000);
  return { clock, pause_watch };
}

test("earliest arrival of a request read just after a pause: start of the pause", async () => {
  const { clock, pause_watch } = await startWatch();
  const paused_at = clock.now();
  clock.advance(PAUSE_MS);
  const arrival = pause_watch.earliestArrivalAt(clock.now());
  expect(arrival).toBeLessThanOrEqual(paused_at);
  expect(arrival).toBeGreaterThan(paused_at - 100);
});

test("earliest arrival of a request read long after a pause: its read time", async () => {
  const { clock, pause_watch } = await startWatch();
  clock.advance(PAUSE_MS);
  await advance(clock, 1_000);
  expect(pause_watch.earliestArrivalAt(clock.now())).toBe(clock.now());
});

test("a delay of 100 ms between two checks, as in a busy process, is not a pause", async () => {
  const { clock, pause_watch } = await startWatch();
  clock.advance(100);
  expect(pause_watch.earliestArrivalAt(clock.now())).toBe(clock.now());
});
