import { EventLog } from "@banyanlb/core";
import {
  OpenStreams,
  planSplits,
  positionOf,
  TAKE_UP_MAX_MS,
  versionAt,
} from "@banyanlb/serving";
import pino from "pino";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { ExchangeInput } from "../exchange_input.ts";
import { StreamVersion } from "./stream_version.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const DEADLINE_MS = 12_000;

const roomOf = (version: string) => new Map([["svc", new Map([[version, 4]])]]);

/** A split that moves all streams from v1 to v2. */
function planRelease() {
  const first = planSplits(undefined, roomOf("v1"), Date.now());
  const second = planSplits(first, roomOf("v2"), Date.now() + 2000);
  if (second === undefined) throw new Error("no second split");
  return second;
}

/** A stream that begins at v1 and whose answer ends after `lengthMs`. */
async function serveStream(options: {
  readonly deadlineMs: number | undefined;
  readonly lengthMs: number;
  readonly hasEvents?: boolean;
}) {
  const { deadlineMs, lengthMs, hasEvents = true } = options;
  const streams = new OpenStreams();
  const position = positionOf("r1", undefined);
  const stream = new StreamVersion({
    softwareVersions: {
      streams,
      versions: {
        decide: ({ id }) => {
          streams.begin(id, { pool: "svc", position, version: "v1" });
          return Promise.resolve({ kind: "begin", version: "v1" });
        },
        countOf: () => 1,
        isInUse: () => true,
      },
    },
    log: new EventLog(pino({ level: "silent" })),
  }, {
    caller: { id: "r1", deadlineMs },
    route: { kind: "stream", resumable: true, timeoutMs: DEADLINE_MS },
    service: "svc",
    arrivedAt: performance.now(),
  } as unknown as ExchangeInput);
  await stream.decide(undefined);
  if (hasEvents) stream.recordEvents({ softwareVersion: "v1" });
  await vi.advanceTimersByTimeAsync(lengthMs);
  stream.close();
  return streams;
}

// ORDER: 2 s after its last byte was written a stream was forgotten, and splits that
// followed let it go on at another version, though its caller had not read it.
test("a stream is reported until its caller's deadline, however its answer ended", async () => {
  const streams = await serveStream({
    deadlineMs: DEADLINE_MS,
    lengthMs: 1200,
  });
  const release = planRelease();
  expect(versionAt(release.pools.svc?.[0], positionOf("r1", undefined)))
    .toBe("v2");
  await vi.advanceTimersByTimeAsync(DEADLINE_MS - 1300);
  expect(streams.strayed(release, performance.now())).toEqual({ r1: "v1" });
  expect(streams.versionOf("r1", performance.now())).toBe("v1");
});

// Memory stays within the rate of streams times their deadlines.
test.each([DEADLINE_MS, 500_000, undefined])(
  "a stream with a deadline of %s ms is forgotten when nobody can take it up",
  async (deadlineMs) => {
    const streams = await serveStream({ deadlineMs, lengthMs: 1200 });
    const maxMs = Math.min(deadlineMs ?? Infinity, TAKE_UP_MAX_MS);
    await vi.advanceTimersByTimeAsync(maxMs - 1300);
    expect(streams.count(performance.now())).toBe(1);
    await vi.advanceTimersByTimeAsync(2000);
    expect(streams.count(performance.now())).toBe(0);
  },
);

test("a stream that brought no event cannot be taken up", async () => {
  const streams = await serveStream({
    deadlineMs: DEADLINE_MS,
    lengthMs: 100,
    hasEvents: false,
  });
  expect(streams.count(performance.now())).toBe(0);
});
