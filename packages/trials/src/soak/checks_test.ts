import {
  type EngineRecord,
  eventText,
  plainText,
  STREAM_EVENTS,
} from "@banyanlb/platform/stand_in";
import { expect, test } from "vitest";
import { type Attempt, checkSoak } from "./checks.ts";
import type { LimitChange, WorkspaceLimits } from "./limit_checks.ts";

const plainAttempt: Attempt = {
  id: "r1",
  kind: "once",
  workspace: "w",
  model: undefined,
  sentAt: 100,
  endedAt: 120,
  status: 200,
  responseId: "r1",
  body: plainText("r1"),
  complete: true,
  isCrashing: false,
  isKeyValid: true,
};

const streamAttempt: Attempt = {
  ...plainAttempt,
  id: "s1",
  kind: "stream",
  model: "m/a1",
  responseId: "s1",
  body: Array.from(
    { length: STREAM_EVENTS },
    (_, i) => `id: ${i + 1}\ndata: ${eventText("s1", i + 1)}\n\n`,
  ).join(""),
};

const runRecord: Extract<EngineRecord, { t: "run" }> = {
  t: "run",
  engine: "e",
  at: 110,
  id: "r1",
  workspace: "w",
  model: undefined,
  path: "/once/x",
  sawKey: false,
  isCrashing: false,
};

const orderRecord: EngineRecord = {
  t: "order",
  engine: "e",
  at: 0,
  holder: "a",
  fence: 5,
  status: 202,
};

/** Limits of a workspace that no attempt belongs to. */
const noLimits: WorkspaceLimits = {
  workspace: "other",
  windowMs: 8000,
  changes: [],
};

function check(
  attempts: readonly Attempt[],
  records: readonly EngineRecord[] = [],
  limits: WorkspaceLimits = noLimits,
) {
  return checkSoak({
    attempts,
    records,
    orderGapMs: 1000,
    recoveredFromMs: 0,
    calmFromMs: 2000,
    limits,
    evacuations: [],
  });
}

test("complete responses to requests that ran once are no violation", () => {
  expect(check([plainAttempt, streamAttempt], [runRecord])).toEqual([]);
});

test("reports a non-repeatable request that ran twice", () => {
  expect(check([plainAttempt], [runRecord, runRecord])).toEqual([
    "r1 ran 2 times",
  ]);
});

test("reports a request that was refused as not run but ran", () => {
  const refused = { ...plainAttempt, status: 503, body: "", complete: true };
  expect(check([refused, streamAttempt], [runRecord]).join()).toContain(
    "503 and ran",
  );
});

test("reports a gap or early end of a stream, and a wrong response id", () => {
  const gap = streamAttempt.body.replace(/id: 3\n.*\n\n/, "");
  expect(check([{ ...streamAttempt, body: gap }]).join()).toContain("event 3");
  const short = streamAttempt.body.slice(
    0,
    streamAttempt.body.indexOf("id: 9"),
  );
  expect(check([{ ...streamAttempt, body: short }]).join()).toContain(
    "as complete",
  );
  expect(
    check([{ ...streamAttempt, body: short, complete: false }, plainAttempt]),
  ).toEqual([
    "1 of 2 requests served after the faults",
  ]);
  expect(check([{ ...streamAttempt, responseId: "x" }]).join()).toContain(
    "answer of x",
  );
});

test("reports a key, workspace, adapter or request id that is wrong", () => {
  expect(check([plainAttempt], [{ ...runRecord, sawKey: true }])).toHaveLength(
    1,
  );
  expect(check([plainAttempt], [{ ...runRecord, workspace: "v" }]))
    .toHaveLength(1);
  expect(check([plainAttempt], [{ ...runRecord, model: "m/a2" }])).toHaveLength(
    1,
  );
  expect(check([plainAttempt], [{ ...runRecord, id: "r9" }])).toHaveLength(1);
});

test("reports orders too close, bad fencing tokens, overfilled engines", () => {
  const other = { ...orderRecord, at: 500, holder: "b", fence: 6 };
  expect(check([plainAttempt], [orderRecord, other]).join()).toContain(
    "500 ms after a",
  );
  expect(check([plainAttempt], [orderRecord, { ...other, at: 1500 }])).toEqual(
    [],
  );
  expect(check([plainAttempt], [orderRecord, { ...other, at: 1500, fence: 5 }]))
    .toEqual([
      "e: b and a share a fence",
    ]);
  expect(check([plainAttempt], [orderRecord, { ...orderRecord, fence: 4 }]))
    .toHaveLength(1);
  const start: EngineRecord = { t: "start", engine: "e", at: 50 };
  expect(check([plainAttempt], [orderRecord, start, other])).toEqual([]);
  const full: EngineRecord = { t: "overfilled", engine: "e", at: 1 };
  expect(check([plainAttempt], [full])).toHaveLength(1);
});

test("reports that no request was served after the faults", () => {
  expect(check([{ ...plainAttempt, status: 503, body: "" }])).toEqual([
    "0 of 1 requests served after the faults",
  ]);
  expect(check([])).toEqual(["0 of 0 requests served after the faults"]);
});

test("reports requests with a crashing part that still reach engines", () => {
  const crashes = (times: readonly number[]) =>
    times.map((at): EngineRecord => ({ ...runRecord, at, isCrashing: true }));
  const attempts = [plainAttempt];
  const isReported = (times: readonly number[]) =>
    check(attempts, crashes(times)).some((text) => text.includes("crashing"));
  expect(isReported([1, 2, 3, 4, 5, 2900, 3000])).toBe(false);
  expect(isReported([1, 2, 3, 4, 5, 3006, 3007, 3008])).toBe(false);
  expect(isReported([1, 2, 3, 4, 5, 3006, 3007, 3008, 3009])).toBe(true);
});

test("reports an engine that ran more requests than the limit it named", () => {
  const limit: EngineRecord = {
    t: "limit",
    engine: "e",
    at: 2000,
    perSecond: 1,
  };
  const runs = (count: number, from: number) =>
    Array.from(
      { length: count },
      (_, i): EngineRecord => ({ ...runRecord, at: from + i }),
    );
  const isReported = (records: readonly EngineRecord[]) =>
    check([plainAttempt], records).some((text) => text.includes("limit of 1"));
  expect(isReported([limit, ...runs(11, 5000)])).toBe(false);
  expect(isReported([limit, ...runs(12, 5000)])).toBe(true);
  expect(isReported([limit, ...runs(12, 4000)])).toBe(false);
  const ended: EngineRecord = { ...limit, at: 4000, perSecond: undefined };
  expect(isReported([limit, ended, ...runs(12, 5000)])).toBe(false);
});

/** A request of the limited workspace for each time, run 10 ms later. */
function limitedRequests(times: readonly number[]) {
  const attempts = times.map((sentAt, i): Attempt => ({
    ...plainAttempt,
    id: `q${i}`,
    responseId: `q${i}`,
    body: plainText(`q${i}`),
    workspace: "limited",
    sentAt,
  }));
  const records = attempts.map(({ id, workspace, sentAt }): EngineRecord => ({
    ...runRecord,
    id,
    workspace,
    at: sentAt + 10,
  }));
  return { attempts, records };
}

/** `count` times, 10 ms apart. */
const timesFrom = (fromMs: number, count: number) =>
  Array.from({ length: count }, (_, i) => fromMs + i * 10);

function checkLimited(
  times: readonly number[],
  changes: readonly LimitChange[],
) {
  const { attempts, records } = limitedRequests(times);
  return check(attempts, records, {
    workspace: "limited",
    windowMs: 8000,
    changes,
  });
}

/** 45 requests in a window, of which 51 are allowed; 27 and 30 once lowered. */
const usual: LimitChange = {
  limit: { perSecond: 5, burst: 5 },
  sentAt: 0,
  acceptedAt: 0,
};
const lowered: LimitChange = {
  limit: { perSecond: 3, burst: 3 },
  sentAt: 10_000,
  acceptedAt: 10_500,
};

test("reports a workspace that got more than its limit in some window", () => {
  const isReported = (times: readonly number[]) =>
    checkLimited([...timesFrom(0, 40), ...times], [usual])
      .some((text) => text.includes("limited got"));
  expect(isReported(timesFrom(7000, 11))).toBe(false);
  expect(isReported(timesFrom(7000, 12))).toBe(true);
  expect(isReported(timesFrom(8400, 40))).toBe(false);
  const { attempts, records } = limitedRequests(timesFrom(0, 51));
  const limits = { ...noLimits, workspace: "limited", changes: [usual] };
  expect(check(attempts, [...records, ...records], limits).join())
    .not.toContain("limited got");
});

test("a lower limit binds from when it must be known, a higher one is allowed at once", () => {
  const isReported = (times: readonly number[], changes = [usual, lowered]) =>
    checkLimited([...timesFrom(0, 40), ...times], changes)
      .some((text) => text.includes("allowed"));
  expect(isReported(timesFrom(13_000, 30))).toBe(false);
  expect(isReported(timesFrom(13_000, 31))).toBe(true);
  expect(isReported(timesFrom(12_900, 31))).toBe(false);
  const unconfirmed = { limit: lowered.limit, sentAt: 10_000 };
  expect(isReported(timesFrom(13_000, 31), [usual, unconfirmed])).toBe(false);
  const raised = { limit: { perSecond: 8, burst: 8 }, sentAt: 12_000 };
  expect(isReported(timesFrom(13_000, 60), [usual, raised])).toBe(false);
});

test("while there are faults a lower limit does not bind yet", () => {
  const early = { ...lowered, sentAt: -9000, acceptedAt: -9000 };
  const first = { ...usual, sentAt: -10_000, acceptedAt: -10_000 };
  const isReported = (fromMs: number) =>
    checkLimited(timesFrom(fromMs, 40), [first, early])
      .some((text) => text.includes("allowed"));
  expect(isReported(0)).toBe(false);
  expect(isReported(2000)).toBe(true);
});

test("reports a workspace that gets less than half of its limit", () => {
  const isReported = (count: number) =>
    checkLimited(timesFrom(0, count), [usual])
      .some((text) => text.includes("less than"));
  expect(isReported(23)).toBe(false);
  expect(isReported(22)).toBe(true);
});

test("a refusal over the workspace's limit is no failure to recover", () => {
  const { attempts, records } = limitedRequests(timesFrom(0, 23));
  const limits = { ...noLimits, workspace: "limited", changes: [usual] };
  const refused: Attempt = {
    ...plainAttempt,
    id: "q99",
    workspace: "limited",
    status: 429,
    body: "",
  };
  const refusals = timesFrom(0, 9).map((_, i) => ({ ...refused, id: `x${i}` }));
  expect(check([...attempts, ...refusals], records, limits)).toEqual([]);
  expect(check([...attempts, ...refusals], records).join())
    .toContain("served after the faults");
});

test("reports requests that run after their callers left", () => {
  const left = (count: number, sentAt: number) =>
    Array.from({ length: count }, (_, i): Attempt => ({
      ...streamAttempt,
      id: `s${i}`,
      sentAt,
      status: 0,
      body: "",
      complete: false,
      leftAt: sentAt + 200,
    }));
  const runs = (attempts: readonly Attempt[], afterMs: number) =>
    attempts.map(({ id, model, leftAt }): EngineRecord => ({
      ...runRecord,
      id,
      model,
      at: (leftAt ?? 0) + afterMs,
    }));
  const find = (count: number, sentAt: number, afterMs: number) => {
    const attempts = left(count, sentAt);
    return check([plainAttempt, ...attempts], runs(attempts, afterMs));
  };
  expect(find(3, 2000, 501)).toEqual([]);
  expect(find(4, 2000, 501).join()).toContain("4 runs after the callers");
  expect(find(4, 2000, 500)).toEqual([]);
  expect(find(4, 1999, 501)).toEqual([]);
});
