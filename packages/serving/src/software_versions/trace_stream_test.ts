import fc from "fast-check";
import { expect, test } from "vitest";
import { OpenStreams } from "./open_streams.ts";
import { planSplits } from "./plan_splits.ts";
import { ALL_SPLITS, type StreamReport, traceStream } from "./trace_stream.ts";
import {
  NO_SPLITS,
  positionOf,
  splitsInUse,
  TAKE_UP_MAX_MS,
  takeUpMs,
  versionAt,
  type VersionSplits,
} from "./version_split.ts";

const START_MS = 1_700_000_000_000;
const PROCESSES = 3;
/** How long callers wait, in milliseconds. */
const DEADLINES_MS = [3000, 12_000, 20_000, 30_000];
/** Streams without an adapter lie anywhere. */
const ADAPTER = undefined;

/** One process of the model: what it knows, what it has reported, its streams. */
class ModelProcess {
  readonly streams = new OpenStreams();
  adopted: VersionSplits = NO_SPLITS;
  pending: VersionSplits | undefined;
  isAlive = true;
  /** How long its streams may be taken up, by its report. */
  takeUpMs = 15_000;

  /** Where a stream begins; undefined if it must not begin. */
  versionOf(id: string): string | undefined {
    const position = positionOf(id, ADAPTER);
    const version = versionAt(this.adopted.pools.svc?.[0], position);
    const next = this.pending;
    if (next === undefined) return version;
    const moved = versionAt(next.pools.svc?.[0], position);
    return moved === version ? version : undefined;
  }
}

/** The system: a store with splits and reports, and processes that are killed
 * and started again. */
class Model {
  splits = planSplits(undefined, room({ v1: 4 }), START_MS) ?? NO_SPLITS;
  readonly reports = new Map<ModelProcess, StreamReport>();
  readonly processes: ModelProcess[] = [];
  readonly begun = new Map<
    string,
    { readonly version: string; readonly at: number; readonly until: number }
  >();
  /** The processes of each place that were lost. */
  readonly lost: ModelProcess[][] = Array.from({ length: PROCESSES }, () => []);
  now = START_MS;

  constructor() {
    for (let i = 0; i < PROCESSES; i += 1) this.start(i);
  }

  start(place: number): void {
    const former = this.processes[place];
    if (former !== undefined) {
      former.isAlive = false;
      this.lost[place]?.push(former);
    }
    const process = new ModelProcess();
    this.processes[place] = process;
    process.adopted = this.splits;
    this.#report(process, { splits: this.splits.number, strayed: {} });
  }

  /** The process records that those before it have ended. */
  recordEnd(place: number): void {
    for (const process of this.lost[place]?.splice(0) ?? []) {
      const report = this.reports.get(process);
      if (report === undefined) continue;
      this.reports.set(process, { ...report, endedAt: this.now });
    }
  }

  #report(
    process: ModelProcess,
    report: Pick<StreamReport, "splits" | "strayed">,
  ): void {
    const { takeUpMs } = process;
    this.reports.set(process, { ...report, takeUpMs, isOfEra: true });
  }

  /** The process ends as planned and starts again. */
  end(place: number): void {
    const process = this.processes[place];
    if (process === undefined) return;
    const strayed = process.streams.versions(0);
    this.#report(process, { splits: ALL_SPLITS, strayed });
    this.start(place);
  }

  split(v1: number, v2: number): void {
    this.now += 1500;
    const next = planSplits(this.splits, room({ v1, v2 }), this.now);
    this.splits = next ?? this.splits;
  }

  /** All processes report on a new split. */
  release(v1: number, v2: number): void {
    this.split(v1, v2);
    for (let i = 0; i < PROCESSES; i += 1) {
      this.learn(i);
      this.store(i);
    }
  }

  /** The process hears of the newest splits and sends its report. */
  learn(place: number): void {
    const process = this.processes[place];
    if (process === undefined || process.pending !== undefined) return;
    if (process.adopted !== this.splits) process.pending = this.splits;
  }

  /** The store takes the report. */
  store(place: number): void {
    const process = this.processes[place];
    if (process?.pending === undefined) return;
    this.#report(process, {
      splits: process.pending.number,
      strayed: process.streams.strayed(process.pending, 0),
    });
    process.adopted = process.pending;
    process.pending = undefined;
  }

  begin(place: number, id: string, deadlineMs = 12_000): void {
    const process = this.processes[place];
    const version = process?.versionOf(id);
    if (process === undefined || version === undefined) return;
    if (this.begun.has(id)) return;
    if (takeUpMs(deadlineMs) > process.takeUpMs) {
      if (process.pending !== undefined) return;
      process.takeUpMs = takeUpMs(deadlineMs);
      this.#report(process, {
        splits: process.adopted.number,
        strayed: process.streams.strayed(process.adopted, 0),
      });
    }
    const position = positionOf(id, ADAPTER);
    process.streams.begin(id, { pool: "svc", position, version });
    const at = this.now;
    this.begun.set(id, { version, at, until: at + deadlineMs });
  }

  /** Checks what a process without memory finds out of each stream; returns how
   * many are known. */
  check(): number {
    let known = 0;
    const splits = splitsInUse(this.splits, "svc", this.now);
    for (const [id, { version, at, until }] of this.begun) {
      if (this.now - at >= TAKE_UP_MAX_MS || this.now > until) continue;
      const stream = { id, position: positionOf(id, ADAPTER), until };
      const trace = traceStream(stream, splits, [...this.reports.values()]);
      if (trace.kind !== "known") continue;
      expect(trace.version).toBe(version);
      known += 1;
    }
    return known;
  }
}

function room(versions: Readonly<Record<string, number>>) {
  const used = Object.entries(versions).filter(([, n]) => n > 0);
  return new Map([["svc", new Map(used)]]);
}

// Guards against streams joined from two versions after a loss of memory: releases
// forward, back and halfway, and processes killed at any step between.
test("no version is found out wrong, whoever was lost", () => {
  const place = fc.nat(PROCESSES - 1);
  const step = fc.oneof(
    { weight: 2, arbitrary: fc.tuple(fc.constant("split"), fc.nat(4)) },
    { weight: 3, arbitrary: fc.tuple(fc.constant("release"), fc.nat(4)) },
    { weight: 4, arbitrary: fc.tuple(fc.constant("learn"), place) },
    { weight: 4, arbitrary: fc.tuple(fc.constant("store"), place) },
    { weight: 8, arbitrary: fc.tuple(fc.constant("begin"), place) },
    { weight: 1, arbitrary: fc.tuple(fc.constant("start"), place) },
    { weight: 1, arbitrary: fc.tuple(fc.constant("end"), place) },
    { weight: 1, arbitrary: fc.tuple(fc.constant("record_end"), place) },
    { weight: 2, arbitrary: fc.tuple(fc.constant("restart"), place) },
    { weight: 2, arbitrary: fc.tuple(fc.constant("wait"), fc.nat(8)) },
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const model = new Model();
      steps.forEach(([action, n], i) => {
        if (action === "split") model.split(4 - n, n);
        else if (action === "release") model.release(4 - n, n);
        else if (action === "learn") model.learn(n);
        else if (action === "store") model.store(n);
        else if (action === "start") model.start(n);
        else if (action === "end") model.end(n);
        else if (action === "record_end") model.recordEnd(n);
        else if (action === "restart") {
          model.start(n);
          model.recordEnd(n);
        } else if (action === "wait") model.now += n * 1000;
        else {
          for (let k = 0; k < 4; k += 1) {
            model.begin(n, `${i}-${k}`, DEADLINES_MS[k]);
          }
        }
        model.check();
      });
    }),
    { numRuns: 1000, seed: 46 },
  );
});

// Pattern of load: all instances are lost some seconds after half of the engines
// were replaced, and callers take their streams up again.
test("every stream is known if all were lost after they had reported", () => {
  const model = new Model();
  for (let k = 0; k < 40; k += 1) model.begin(k % PROCESSES, `old-${k}`);
  model.split(2, 2);
  for (let i = 0; i < PROCESSES; i += 1) {
    model.learn(i);
    model.begin(i, `between-${i}`);
    model.store(i);
    for (let k = 0; k < 20; k += 1) model.begin(i, `new-${i}-${k}`);
  }
  for (let i = 0; i < PROCESSES; i += 1) model.start(i);
  expect(model.check()).toBe(model.begun.size);
});

test("a moved stream is unknown if a process was lost before it reported", () => {
  const model = new Model();
  for (let k = 0; k < 40; k += 1) model.begin(0, `old-${k}`);
  model.split(2, 2);
  model.start(0);
  for (const i of [1, 2]) {
    model.learn(i);
    model.store(i);
  }
  const known = model.check();
  expect(known).toBeGreaterThan(5);
  expect(known).toBeLessThan(35);
});

// Guards against streams that nobody can take up after a release, since a process
// that had ended in order before it never reported on the newer splits.
test("a process that ended as planned makes no stream unknown", () => {
  const model = new Model();
  for (let k = 0; k < 40; k += 1) model.begin(k % PROCESSES, `old-${k}`);
  model.end(0);
  for (const n of [2, 4]) {
    model.split(4 - n, n);
    for (let i = 0; i < PROCESSES; i += 1) {
      model.learn(i);
      model.store(i);
      model.begin(i, `new-${n}-${i}`);
    }
  }
  expect(model.check()).toBe(model.begun.size);
});

/** A process is killed before a release, and the others report on it. Returns the
 * model, with streams that have begun by the newest splits. */
function releaseAfterKill(hasRecorded: boolean): Model {
  const model = new Model();
  for (let k = 0; k < 12; k += 1) model.begin(0, `lost-${k}`);
  model.start(0);
  if (hasRecorded) model.recordEnd(0);
  model.now += 6000;
  for (const n of [2, 4]) model.release(4 - n, n);
  for (let k = 0; k < 40; k += 1) model.begin(1, `new-${k}`);
  return model;
}

// LOST: from each kill on, a release made every stream that began at the new version
// impossible to take up, though the killed process could not have begun it.
test("streams that begin after the end of a killed process are known", () => {
  const model = releaseAfterKill(true);
  model.now += 2000;
  // Those of the killed process cannot be told from others while they last.
  expect(model.check()).toBe(40);
  expect(releaseAfterKill(false).check()).toBe(0);
});

test("a process that may only stand still makes moved streams unknown", () => {
  const model = new Model();
  for (let k = 0; k < 12; k += 1) model.begin(0, `still-${k}`);
  model.split(0, 4);
  for (const i of [1, 2]) {
    model.learn(i);
    model.store(i);
  }
  model.now += 20_000;
  for (let k = 0; k < 12; k += 1) model.begin(0, `woken-${k}`);
  for (let k = 0; k < 12; k += 1) model.begin(1, `new-${k}`);
  expect(model.check()).toBe(0);
});

// Pattern of load: a release goes back, and a process that was killed in between had
// adopted only the splits of before.
test("a process begins by no later splits than it has reported", () => {
  const model = new Model();
  model.split(0, 4);
  for (const i of [1, 2]) {
    model.learn(i);
    model.store(i);
  }
  model.start(0);
  model.release(4, 0);
  for (let k = 0; k < 12; k += 1) model.begin(1, `new-${k}`);
  expect(model.check()).toBe(12);
});

// A restored store may hold an older report than the last one.
test("a report of another era of the store bounds nothing", () => {
  const split = (number: number, version: string) => ({
    number,
    madeAt: START_MS + number,
    ranges: [{ version, until: 1 }],
  });
  const splits = [split(3, "v1"), split(2, "v2"), split(1, "v1")];
  const trace = (report: Partial<StreamReport>) =>
    traceStream({ id: "r", position: 0, until: START_MS + 30_000 }, splits, [
      { splits: 1, strayed: {}, ...report },
    ]);
  const ended = { endedAt: START_MS, takeUpMs: 15_000 };
  expect(trace({ isOfEra: true })).toMatchObject({ version: "v1" });
  expect(trace({})).toMatchObject({ reason: "unreported" });
  expect(trace({ ...ended, splits: 2 })).toMatchObject({
    reason: "unreported",
  });
  expect(trace({ ...ended, splits: 2, isOfEra: true })).toMatchObject({
    version: "v1",
  });
});

test("an id without a split is unknown", () => {
  expect(traceStream({ id: "r1", position: 0 }, [])).toEqual({
    kind: "unknown",
    reason: "no_split",
  });
});
