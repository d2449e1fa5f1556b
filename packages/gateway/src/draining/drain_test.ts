import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { Drain } from "./drain.ts";

const GRACE_MS = 8000;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Starts a drain before a store that takes the report after `storeMs`. Returns
 * what happens, by name and time. */
function start(active: number, storeMs: number | undefined) {
  const startedAt = performance.now();
  const times = { reportAsked: -1, reported: -1, ended: -1 };
  const sinceStart = () => Math.round(performance.now() - startedAt);
  const drain = new Drain(GRACE_MS);
  void drain.run(() => ({ active, idleMs: 1000 }), async () => {
    times.reportAsked = sinceStart();
    await new Promise((resolve) => {
      if (storeMs !== undefined) setTimeout(resolve, storeMs);
    });
    times.reported = sinceStart();
  }).then(() => (times.ended = sinceStart()));
  return { drain, times };
}

const STREAM = { kind: "stream", timeoutMs: 12_000 } as never;

// Guards against streams that begin after the last report and that nobody knows.
test("the last report is stored once no stream is accepted any more", async () => {
  const { drain, times } = start(0, 5);
  await vi.advanceTimersByTimeAsync(2400);
  expect(drain.hasTimeFor(STREAM)).toBe(true);
  expect(times.reportAsked).toBe(-1);
  await vi.advanceTimersByTimeAsync(200);
  expect(drain.hasTimeFor(STREAM)).toBe(false);
  expect(times.reported).toBeGreaterThan(0);
  await vi.advanceTimersByTimeAsync(GRACE_MS);
  expect(times.ended).toBeLessThan(3500);
});

test("a process ends in its grace though the store never replies", async () => {
  const idle = start(0, undefined);
  const busy = start(1, undefined);
  await vi.advanceTimersByTimeAsync(GRACE_MS + 1000);
  expect(idle.times.ended).toBeLessThan(4000);
  expect(busy.times.ended).toBeGreaterThan(7000);
  expect(busy.times.ended).toBeLessThan(GRACE_MS);
});

test("a store that replies late takes the report while requests are served", async () => {
  const { times } = start(1, 3000);
  await vi.advanceTimersByTimeAsync(GRACE_MS);
  expect(times.reported).toBeGreaterThan(5000);
  expect(times.ended).toBeGreaterThan(times.reported);
});
