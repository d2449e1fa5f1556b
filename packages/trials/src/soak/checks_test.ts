import {
  type EngineRecord,
  eventText,
  plainText,
  STREAM_EVENTS,
} from "@banyanlb/platform/stand_in";
import { expect, test } from "vitest";
import { type Attempt, checkSoak } from "./checks.ts";

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

const runRecord: EngineRecord = {
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

function check(
  attempts: readonly Attempt[],
  records: readonly EngineRecord[] = [],
) {
  return checkSoak({
    attempts,
    records,
    orderGapMs: 1000,
    recoveredFromMs: 0,
    calmFromMs: 2000,
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
