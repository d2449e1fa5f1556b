import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import { RESPONSE_HEADERS } from "@banyanlb/platform";
import { afterEach, expect, test } from "vitest";
import { findFreePort } from "../testing/free_port.ts";
import {
  cleanUp,
  SEALED_HEADERS,
  sendRequest,
  startRelay,
  type TestResponse,
} from "../testing/start_relay.ts";

afterEach(cleanUp);

/** How long the first engine sends nothing, in milliseconds: longer than the
 * time after which another engine is asked. */
const SILENCE_MS = 2600;

/** Time within which an engine must be rid of a request that went on at another
 * one, in milliseconds: the deployments' bound. */
const GIVEN_UP_WITHIN_MS = 400;

const BEGINNING = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const END = "id: 3\ndata: c\n\nid: 4\ndata: d\n\n";
const STREAM_HEADERS = {
  ...SEALED_HEADERS,
  "content-type": "text/event-stream",
};
const REFUSAL_HEADERS = {
  [RESPONSE_HEADERS.id]: "r1",
  [RESPONSE_HEADERS.notRun]: "1",
};

/** Engines that are as busy as each other; the first gets the request. */
interface Engines {
  /** When the first engine lost the request's connection. */
  readonly closedAt: Promise<number>;
  readonly handlers: readonly (RequestListener | number)[];
}

/** An engine that begins a stream, and ends it after a silence unless the
 * connection was closed; and others. */
function beginAt(
  others: readonly (RequestListener | number)[],
  { silenceMs = SILENCE_MS } = {},
): Engines {
  let recordClose: (at: number) => void = () => undefined;
  const closedAt = new Promise<number>((resolve) => (recordClose = resolve));
  const begin: RequestListener = (_, res) => {
    res.writeHead(200, STREAM_HEADERS);
    res.write(BEGINNING);
    res.on("close", () => recordClose(performance.now()));
    setTimeout(() => res.end(END), silenceMs);
  };
  return { closedAt, handlers: [begin, ...others] };
}

async function sendStream({ handlers }: Engines): Promise<TestResponse> {
  const port = await startRelay(handlers, {
    route: {
      kind: "stream",
      resumable: true,
      timeoutMs: 8000,
      targetLatencyMs: 600,
      maxAttempts: 3,
    },
  });
  return sendRequest(port, { deadline: "8000" });
}

const WHOLE = { status: 200, body: BEGINNING + END, isComplete: true };

const refuse: RequestListener = (_, res) => {
  res.writeHead(503, REFUSAL_HEADERS);
  res.end();
};
const loseConnection: RequestListener = (req) => req.socket.destroy();
const fail: RequestListener = (_, res) => {
  res.writeHead(500, SEALED_HEADERS);
  res.end("bad");
};

// Guards against answers that end because their engine was silent for a moment,
// while no other engine could go on with them: "stalled" streams were given up,
// the next engine was out of reach, and the callers' connections were closed.
test.each<readonly [string, () => Promise<RequestListener | number>]>([
  ["out of reach", () => findFreePort()],
  ["refusing the request", () => Promise.resolve(refuse)],
  ["closing the connection", () => Promise.resolve(loseConnection)],
  ["failing the request", () => Promise.resolve(fail)],
])("a silent engine's answer goes on when the other engine is %s", async (
  _,
  other,
) => {
  const engines = beginAt([await other()]);
  expect(await sendStream(engines)).toMatchObject(WHOLE);
}, 15_000);

// Guards against answers that break off because no engine is left to take them
// over.
test(
  "a silent engine's answer goes on when there is no other engine",
  async () => {
    expect(await sendStream(beginAt([]))).toMatchObject(WHOLE);
  },
  15_000,
);

// Guards against a request that two engines work on.
test(
  "an engine that stays silent loses the answer once another goes on",
  async () => {
    let takenAt = Infinity;
    const lastEventIds: unknown[] = [];
    const goOn: RequestListener = (
      req: IncomingMessage,
      res: ServerResponse,
    ) => {
      takenAt = performance.now();
      lastEventIds.push(req.headers["last-event-id"]);
      res.writeHead(200, STREAM_HEADERS);
      res.end(END);
    };
    const engines = beginAt([goOn], { silenceMs: 6000 });
    expect(await sendStream(engines)).toMatchObject(WHOLE);
    expect(lastEventIds).toEqual(["2"]);
    expect(await engines.closedAt - takenAt).toBeLessThan(GIVEN_UP_WITHIN_MS);
  },
  15_000,
);

// Guards against a request that two engines work on, when the other engine takes
// it and says nothing either.
test(
  "an engine loses the answer soon after another one was sent it",
  async () => {
    let takenAt = Infinity;
    const goOnLate: RequestListener = (_, res) => {
      takenAt = performance.now();
      setTimeout(() => {
        res.writeHead(200, STREAM_HEADERS);
        res.end(END);
      }, 600);
    };
    const engines = beginAt([goOnLate], { silenceMs: 6000 });
    expect(await sendStream(engines)).toMatchObject(WHOLE);
    expect(await engines.closedAt - takenAt).toBeLessThan(GIVEN_UP_WITHIN_MS);
  },
  15_000,
);

// Guards against events that come twice: the first engine speaks again after the
// other one was asked.
test("events of an engine that speaks again are not sent twice", async () => {
  const goOn: RequestListener = (_, res) => {
    setTimeout(() => {
      res.writeHead(200, STREAM_HEADERS);
      res.end(END);
    }, 150);
  };
  // The silence ends within the time in which the other engine has not answered.
  const engines = beginAt([goOn], { silenceMs: 1480 });
  expect(await sendStream(engines)).toMatchObject(WHOLE);
}, 15_000);

// Guards against an error in place of an answer that an engine was about to give:
// it was late, and the next engine was out of reach.
test.each<readonly [string, () => Promise<RequestListener | number>]>([
  ["out of reach", () => findFreePort()],
  ["failing the request", () => Promise.resolve(fail)],
])("a late answer is forwarded when the other engine is %s", async (
  _,
  other,
) => {
  const answerLate: RequestListener = (_, res) => {
    setTimeout(() => {
      res.writeHead(200, SEALED_HEADERS);
      res.end("well");
    }, 900);
  };
  const port = await startRelay([answerLate, await other()], { route: {} });
  expect(await sendRequest(port)).toMatchObject({ status: 200, body: "well" });
});

// Guards against two answers to one request: the first engine's arrives while the
// other one has the request.
test("an answer that comes during a hand-over is forwarded once", async () => {
  const answerAfter = (ms: number, body: string): RequestListener => (_, res) =>
    void setTimeout(() => {
      res.writeHead(200, SEALED_HEADERS);
      res.end(body);
    }, ms);
  const port = await startRelay(
    [answerAfter(450, "first"), answerAfter(150, "second")],
    { route: {} },
  );
  expect(await sendRequest(port)).toMatchObject({
    status: 200,
    body: "second",
    isComplete: true,
  });
});
