import {
  type EngineRecord,
  eventText,
  plainText,
  STREAM_EVENTS,
} from "@banyanlb/platform/stand_in";
import { expect, test } from "vitest";
import { type Attempt, checkSoak } from "./judge.ts";

const once: Attempt = {
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
  isKeyValid: true,
};

const stream: Attempt = {
  ...once,
  id: "s1",
  kind: "stream",
  model: "m/a1",
  responseId: "s1",
  body: Array.from(
    { length: STREAM_EVENTS },
    (_, i) => `id: ${i + 1}\ndata: ${eventText("s1", i + 1)}\n\n`,
  ).join(""),
};

const run: EngineRecord = {
  t: "run",
  engine: "e",
  at: 110,
  id: "r1",
  workspace: "w",
  model: undefined,
  path: "/once/x",
  sawKey: false,
};

const order: EngineRecord = {
  t: "order",
  engine: "e",
  at: 0,
  holder: "a",
  fence: 5,
  status: 202,
};

function judge(
  attempts: readonly Attempt[],
  records: readonly EngineRecord[] = [],
) {
  return checkSoak({ attempts, records, orderGapMs: 1000, recoveredFromMs: 0 });
}

test("complete responses to requests that ran once are no violation", () => {
  expect(judge([once, stream], [run])).toEqual([]);
});

test("reports a non-repeatable request that ran twice", () => {
  expect(judge([once], [run, run])).toEqual(["r1 ran 2 times"]);
});

test("reports a request that was refused as not run but ran", () => {
  const refused = { ...once, status: 503, body: "", complete: true };
  expect(judge([refused, stream], [run]).join()).toContain("503 and ran");
});

test("reports a gap or early end of a stream, and a wrong response id", () => {
  const gap = stream.body.replace(/id: 3\n.*\n\n/, "");
  expect(judge([{ ...stream, body: gap }]).join()).toContain("event 3");
  const short = stream.body.slice(0, stream.body.indexOf("id: 9"));
  expect(judge([{ ...stream, body: short }]).join()).toContain("as complete");
  expect(judge([{ ...stream, body: short, complete: false }, once])).toEqual([
    "1 of 2 requests served after the faults",
  ]);
  expect(judge([{ ...stream, responseId: "x" }]).join()).toContain(
    "answer of x",
  );
});

test("reports a key, workspace, adapter or request id that is wrong", () => {
  expect(judge([once], [{ ...run, sawKey: true }])).toHaveLength(1);
  expect(judge([once], [{ ...run, workspace: "v" }])).toHaveLength(1);
  expect(judge([once], [{ ...run, model: "m/a2" }])).toHaveLength(1);
  expect(judge([once], [{ ...run, id: "r9" }])).toHaveLength(1);
});

test("reports orders too close, bad fencing tokens and overfilled engines", () => {
  const other = { ...order, at: 500, holder: "b", fence: 6 };
  expect(judge([once], [order, other]).join()).toContain("500 ms after a");
  expect(judge([once], [order, { ...other, at: 1500 }])).toEqual([]);
  expect(judge([once], [order, { ...other, at: 1500, fence: 5 }])).toEqual([
    "e: b and a share a fence",
  ]);
  expect(judge([once], [order, { ...order, fence: 4 }])).toHaveLength(1);
  const start: EngineRecord = { t: "start", engine: "e", at: 50 };
  expect(judge([once], [order, start, other])).toEqual([]);
  const full: EngineRecord = { t: "overfilled", engine: "e", at: 1 };
  expect(judge([once], [full])).toHaveLength(1);
});

test("reports that no request was served after the faults", () => {
  expect(judge([{ ...once, status: 503, body: "" }])).toEqual([
    "0 of 1 requests served after the faults",
  ]);
  expect(judge([])).toEqual(["0 of 0 requests served after the faults"]);
});
