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
  void drain.run({
    requests: () => ({ active, idleMs: 1000, connections: active }),
    closeIntake: () => undefined,
    report: async () => {
      times.reportAsked = sinceStart();
      await new Promise((resolve) => {
        if (storeMs !== undefined) setTimeout(resolve, storeMs);
      });
      times.reported = sinceStart();
    },
  }).then(() => (times.ended = sinceStart()));
  return { drain, times };
}

/** A process that gets a request each `gapMs`, and serves each for `workMs`, as
 * long as its intake is open. */
function startServing(options: {
  readonly gapMs: number;
  readonly workMs: number;
  readonly storeMs?: number;
}) {
  const { gapMs, workMs, storeMs } = options;
  const drain = new Drain(GRACE_MS);
  const counts = { read: 0, refused: 0, answered: 0 };
  let active = 0;
  let idleSince = performance.now();
  let isOpen = true;
  const arrivals = setInterval(() => {
    if (!isOpen) return;
    counts.read += 1;
    active += 1;
    const isServed = drain.hasTimeFor(PLAIN);
    if (!isServed) counts.refused += 1;
    setTimeout(() => {
      active -= 1;
      idleSince = performance.now();
      counts.answered += 1;
    }, isServed ? workMs : 0);
  }, gapMs);
  const end = { counts: { ...counts }, ms: 0 };
  const ended = drain.run({
    requests: () => ({
      active,
      idleMs: performance.now() - idleSince,
      connections: active,
    }),
    closeIntake: () => (isOpen = false),
    report: () =>
      new Promise((resolve) => {
        if (storeMs !== undefined) setTimeout(resolve, storeMs);
      }),
  }).then(() => {
    clearInterval(arrivals);
    end.counts = { ...counts };
    end.ms = drain.elapsedMs;
  });
  return { drain, end, ended };
}

const PLAIN = { kind: "unsafe", timeoutMs: 1000 } as never;
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

// LOST: an order that was read during the wait for the last report ended with its
// connection, unanswered, while its engine ran it.
test.each([1050, 1100, 1150, 1200])(
  "no request that was read is unanswered at the end, one each %i ms, with the store down",
  async (gapMs) => {
    const { end, ended } = startServing({ gapMs, workMs: 600 });
    await vi.advanceTimersByTimeAsync(GRACE_MS);
    await ended;
    expect(end.counts.read).toBeGreaterThan(1);
    expect(end.counts.answered).toBe(end.counts.read);
    expect(end.ms).toBeLessThan(GRACE_MS);
  },
);

// Requests come so closely that the process is never idle.
test("requests that are read at the end of the grace are answered, too", async () => {
  const { end, ended } = startServing({ gapMs: 20, workMs: 700 });
  await vi.advanceTimersByTimeAsync(GRACE_MS);
  await ended;
  expect(end.counts.refused).toBeGreaterThan(0);
  expect(end.counts.answered).toBe(end.counts.read);
  expect(end.ms).toBeLessThan(GRACE_MS);
});

test("a request whose rest arrives after the intake was closed is refused and waited for", async () => {
  const drain = new Drain(GRACE_MS);
  const requests = { active: 0, idleMs: 1000, connections: 1 };
  let isEnded = false;
  let isServed: boolean | undefined;
  void drain.run({
    requests: () => requests,
    closeIntake: () => {
      setTimeout(() => {
        requests.active = 1;
        isServed = drain.hasTimeFor(PLAIN);
      }, 300);
    },
    report: () => Promise.resolve(),
  }).then(() => (isEnded = true));
  await vi.advanceTimersByTimeAsync(5000);
  expect(isServed).toBe(false);
  expect(isEnded).toBe(false);
  requests.active = 0;
  requests.connections = 0;
  await vi.advanceTimersByTimeAsync(200);
  expect(isEnded).toBe(true);
});
