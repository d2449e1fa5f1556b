/** Compares the accounting of one share with a brute-force calculation. */
import fc from "fast-check";
import { expect, test } from "vitest";
import { RESERVATION_VALIDITY_MS } from "./constants.ts";
import { type ShareLimits, shareLimits } from "./limits.ts";
import { ShareBucket, type ShareReservation } from "./share_bucket.ts";
import {
  type Arrival,
  NaiveBucket,
  worstExcess,
} from "./simulated_fleet_test.ts";

const SEED = 20_262;
const LIMITS: ShareLimits = { rate: 100, capacity: 175, validity_ms: 250 };
const BURST = 200;
const TOLERANCE = 1e-6;

/** One request: its reservation, arrival and settlement. */
interface Call {
  readonly gap_ms: number;
  readonly tokens: number;
  readonly used_ratio: number;
  readonly arrival_delay_ms: number;
  readonly run_ms: number;
}

const call = fc.record<Call>({
  gap_ms: fc.constantFrom(0, 1, 10, 100, 500, 2_000),
  tokens: fc.integer({ min: 1, max: 250 }),
  used_ratio: fc.constantFrom(0, 0.1, 0.5, 1),
  arrival_delay_ms: fc.constantFrom(0, 100, 250),
  run_ms: fc.constantFrom(0, 5, 300, 1_000, 5_000),
});
const calls = fc.array(call, { minLength: 1, maxLength: 120 });

interface CallRecord {
  readonly at: number;
  readonly reservation: ShareReservation;
  readonly used: number;
  readonly settles_at: number;
  tokens: number;
}

/** Computes the level by replaying every charge. */
function replayLevel(rows: readonly CallRecord[], now: number): number {
  let level = -LIMITS.rate * RESERVATION_VALIDITY_MS / 1_000;
  let last_at = 0;
  const refill = (at: number) => {
    const added = LIMITS.rate * (at - last_at) / 1_000;
    level = Math.min(LIMITS.capacity, level + added);
    last_at = at;
  };
  for (const row of rows) {
    refill(row.at);
    level -= row.tokens;
  }
  refill(now);
  return level;
}

/** Runs calls and returns the arrivals and the largest error of the level. */
function runCalls(calls: readonly Call[], bucket: ShareBucket) {
  const rows: CallRecord[] = [];
  const arrivals: Arrival[] = [];
  let unsettled: CallRecord[] = [];
  let now = 0;
  let error = 0;
  const settleUntil = (until: number) => {
    const due = unsettled.filter((row) => row.settles_at <= until)
      .sort((a, b) => a.settles_at - b.settles_at);
    unsettled = unsettled.filter((row) => row.settles_at > until);
    for (const row of due) {
      const at = row.settles_at;
      bucket.settle(row.reservation, { used: row.used, now: at });
      row.tokens = row.used;
    }
  };
  for (const call of calls) {
    now += call.gap_ms;
    settleUntil(now);
    error = Math.max(
      error,
      Math.abs(bucket.level(now) - replayLevel(rows, now)),
    );
    const reservation = bucket.reserve(call.tokens, now);
    const { granted } = reservation;
    const used = granted * call.used_ratio;
    const settles_at = now + call.arrival_delay_ms + call.run_ms;
    const row = { at: now, reservation, used, settles_at, tokens: granted };
    rows.push(row);
    unsettled.push(row);
    arrivals.push({ at: now + call.arrival_delay_ms, tokens: used });
  }
  return { arrivals, error };
}

const limits = { rate: LIMITS.rate, burst: BURST };

test(`levels are exact and no window exceeds the limits (seed ${SEED})`, () => {
  fc.assert(
    fc.property(calls, (calls) => {
      const { arrivals, error } = runCalls(
        calls,
        new ShareBucket(LIMITS, 0),
      );
      expect(error).toBeLessThan(TOLERANCE);
      expect(worstExcess(arrivals, limits)).toBeLessThan(TOLERANCE);
    }),
    { seed: SEED, numRuns: 1_500 },
  );
});

const mutations: readonly (readonly [string, () => ShareBucket])[] = [
  [
    "returns of unused tokens up to the capacity",
    () => new NaiveBucket(LIMITS, 0),
  ],
  [
    "no allowance for the validity period",
    () => new ShareBucket({ ...LIMITS, capacity: BURST }, 0),
  ],
];

test.each(mutations)("the window check detects %s", (_name, create) => {
  const outcome = fc.check(
    fc.property(calls, (calls) => {
      const { arrivals } = runCalls(calls, create());
      return worstExcess(arrivals, limits) < TOLERANCE;
    }),
    { seed: SEED, numRuns: 1_500 },
  );
  expect(outcome.failed).toBe(true);
});

test("an old reservation returns no tokens after the bucket was full", () => {
  const bucket = new ShareBucket({ rate: 1, capacity: 10, validity_ms: 0 }, 0);
  const old_reservation = bucket.reserve(10, 20_000);
  const later = bucket.reserve(10, 40_000);
  expect([old_reservation.granted, later.granted]).toEqual([10, 10]);
  bucket.settle(old_reservation, { used: 0, now: 40_000 });
  expect(bucket.level(40_000)).toBe(0);
});

test("windows across a raise of the rate stay within the limits", () => {
  const workspace = { name: "w", rate: 4, burst: 40, slots: [0] };
  const before = shareLimits(workspace);
  const bucket = new ShareBucket(before, 0);
  const at = 100_000;
  const first = bucket.reserve(1_000, at - 1).granted;
  bucket.setLimits(shareLimits({ ...workspace, rate: 40 }), at);
  const arrivals = [{ at: at - 1 + before.validity_ms, tokens: first }];
  for (let ms = 0; ms < 2_000; ms += 10) {
    const tokens = bucket.reserve(1_000, at + ms).granted;
    arrivals.push({ at: Math.max(at + ms, at + 250), tokens });
  }
  expect(worstExcess(arrivals, { rate: 40, burst: 40 }))
    .toBeLessThan(TOLERANCE);
});

test("a late import counts from the start of the bucket, but only once", () => {
  const limits = { rate: 1, capacity: 10, validity_ms: 0 };
  const bucket = new ShareBucket(limits, 0);
  bucket.importShare({ level: 8, limits }, 1_000);
  expect(bucket.level(1_000)).toBe(9);
  bucket.importShare({ level: 8, limits }, 1_000);
  expect(bucket.level(1_000)).toBe(9);
});

test("windows across a takeover with a raised rate stay within limits", () => {
  const before = { name: "w", rate: 4, burst: 40, slots: [0] };
  const old = new ShareBucket(shareLimits(before), 0);
  const at = 100_000;
  const arrivals = [{ at: at + 249, tokens: old.reserve(99, at - 1).granted }];
  const raised = { ...before, rate: 40 };
  const next = new ShareBucket(shareLimits(raised), at);
  for (let ms = 0; ms < 2_000; ms += 10) {
    const tokens = next.reserve(99, at + ms).granted;
    arrivals.push({ at: at + Math.max(ms, 249), tokens });
  }
  expect(worstExcess(arrivals, raised)).toBeLessThan(TOLERANCE);
});
