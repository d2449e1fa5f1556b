import { once } from "node:events";
import {
  type IncomingMessage,
  request,
  type RequestListener,
  ServerResponse,
} from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { RESPONSE_HEADERS } from "@banyanlb/platform";
import { afterEach, expect, test, vi } from "vitest";
import * as events from "../events.ts";
import { delayConnections } from "../testing/delay_connections.ts";
import { findFreePort } from "../testing/free_port.ts";
import {
  addCleanup,
  cleanUp,
  listen,
  portOf,
  type RelayOptions,
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

async function sendStream(
  { handlers }: Engines,
  onLog: RelayOptions["onLog"] = () => undefined,
): Promise<TestResponse> {
  const port = await startRelay(handlers, {
    onLog,
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
const hang: RequestListener = () => undefined;
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

// Guards against two answers to one request, and against the loss of one that is
// whole: it arrives while the other engine has the request.
test("of two answers the first that is whole is forwarded, once", async () => {
  const answerAfter = (ms: number, body: string): RequestListener => (_, res) =>
    void setTimeout(() => {
      res.writeHead(200, SEALED_HEADERS);
      res.end(body);
    }, ms);
  const whole = { status: 200, body: "first", isComplete: true };
  for (const other of [answerAfter(150, "second"), hang]) {
    const port = await startRelay([answerAfter(450, "first"), other], {
      route: {},
    });
    expect(await sendRequest(port)).toMatchObject(whole);
  }
});

// Guards against an answer that is lost although the other engine has said that it
// does not take the request: the rest of its refusal was waited for.
test(
  "a refusal whose body does not come leaves the answer where it is",
  async () => {
    const refuseSlowly: RequestListener = (_, res) =>
      void setTimeout(() => {
        res.writeHead(503, { ...REFUSAL_HEADERS, "content-length": "5" });
        res.flushHeaders();
      }, 120);
    const engines = beginAt([refuseSlowly]);
    expect(await sendStream(engines)).toMatchObject(WHOLE);
  },
  15_000,
);

// Guards against an answer of the other engine that replaces a better one.
test("another engine's error does not replace a late answer", async () => {
  const answerLate: RequestListener = (_, res) =>
    void setTimeout(() => {
      res.writeHead(200, SEALED_HEADERS);
      res.end("well");
    }, 900);
  const fail429: RequestListener = (_, res) => {
    res.writeHead(429, SEALED_HEADERS);
    res.end("busy");
  };
  const port = await startRelay([answerLate, fail429], { route: {} });
  expect(await sendRequest(port)).toMatchObject({ status: 200, body: "well" });
});

// Guards against a request that waits for its deadline: its answer broke off
// while another engine was asked, which refused it.
test("an answer that breaks off during a hand-over is asked for again", async () => {
  const breakOff: RequestListener = (_, res) =>
    void setTimeout(() => {
      res.writeHead(200, { ...SEALED_HEADERS, "content-length": "10" });
      res.write("wel");
      setTimeout(() => res.socket?.end(), 50);
    }, 450);
  const refuseLate: RequestListener = (req, res) =>
    void setTimeout(() => refuse(req, res), 170);
  const answer: RequestListener = (_, res) => {
    res.writeHead(200, SEALED_HEADERS);
    res.end("well");
  };
  const port = await startRelay([breakOff, refuseLate, answer], {
    route: { maxAttempts: 3 },
  });
  expect(await sendRequest(port)).toMatchObject({ status: 200, body: "well" });
});

// Guards against a request at three engines: the one that was asked is slow to
// connect, and asks a further one itself.
test("an engine that was asked asks no other one", async () => {
  let asked = 0;
  const hanging = await listen(() => void (asked += 1));
  delayConnections(portOf(hanging), 650);
  const goOn: RequestListener = (_, res) => {
    asked += 1;
    res.writeHead(200, STREAM_HEADERS);
    res.write("id: 3\ndata: c\n\n");
    setTimeout(() => res.end("id: 4\ndata: d\n\n"), 1200);
  };
  const lines: unknown[] = [];
  const engines = beginAt([portOf(hanging), goOn], { silenceMs: 2700 });
  const response = await sendStream(engines, (fields) => lines.push(fields));
  expect(response).toMatchObject(WHOLE);
  expect(asked).toBe(2);
  expect(lines.filter((fields) => isServed(fields))).toHaveLength(1);
}, 15_000);

function isServed(fields: unknown): boolean {
  return (fields as { readonly event: number }).event ===
    events.REQUEST_SERVED.id;
}

// Guards against a request that is sent again after its end: its caller had been
// slow to read, and the timer of an ended attempt was set once more.
test("no engine is asked for an attempt that has ended", async () => {
  const { write } = ServerResponse.prototype;
  addCleanup(() => Object.assign(ServerResponse.prototype, { write }));
  const slowResponses = new WeakSet<ServerResponse>();
  ServerResponse.prototype.write = function (
    this: ServerResponse,
    ...args: Parameters<ServerResponse["write"]>
  ) {
    const isWritten = write.apply(this, args);
    if (!String(args[0]).includes("slow") || slowResponses.has(this)) {
      return isWritten;
    }
    setTimeout(() => this.emit("drain"), 600);
    return false;
  } as ServerResponse["write"];
  const breakOff: RequestListener = (_, res) => {
    slowResponses.add(res);
    res.writeHead(200, STREAM_HEADERS);
    res.write("id: 1\ndata: slow\n\n");
    setTimeout(() => res.socket?.resetAndDestroy(), 300);
  };
  let asked = 0;
  const goOn: RequestListener = (_, res) => {
    asked += 1;
    res.writeHead(200, STREAM_HEADERS);
    res.end("id: 2\ndata: b\n\n");
  };
  const handlers = [breakOff, goOn, goOn];
  await sendStream({ handlers, closedAt: Promise.resolve(0) });
  await pause(2500);
  expect(asked).toBe(1);
}, 15_000);

// Guards against an exception in a timer: no header can carry the id of the last
// event.
test("an event id that no header can carry ends no other request", async () => {
  const begin: RequestListener = (_, res) => {
    res.writeHead(200, STREAM_HEADERS);
    res.write("id: 1\u0001\ndata: a\n\n");
    setTimeout(() => res.end(END), 2000);
  };
  const handlers = [begin, hang];
  const response = await sendStream({ handlers, closedAt: Promise.resolve(0) });
  expect(response).toMatchObject({ status: 200, isComplete: true });
}, 15_000);

// Guards against lines that name the wrong engine and the wrong reason.
test("a hand-over is logged with its engines and its reason", async () => {
  const lines: Readonly<Record<string, unknown>>[] = [];
  const breakOff: RequestListener = (_, res) => {
    res.writeHead(200, STREAM_HEADERS);
    res.write(BEGINNING);
    setTimeout(() => res.socket?.resetAndDestroy(), 1500);
  };
  const goOnLate: RequestListener = (_, res) =>
    void setTimeout(() => {
      res.writeHead(200, STREAM_HEADERS);
      res.end(END);
    }, 200);
  await sendStream(
    { handlers: [breakOff, goOnLate], closedAt: Promise.resolve(0) },
    (fields) => lines.push(fields),
  );
  expect(lines).toMatchObject([
    {
      event: events.ATTEMPT_FAILED.id,
      reason: "connection_lost",
      engine: "e0@1",
      next: "e1@1",
    },
    { event: events.REQUEST_SERVED.id, engine: "e1@1" },
  ]);
}, 15_000);

// Guards against work for a caller that has left.
test("both engines lose a request whose caller leaves during a hand-over", async () => {
  const closed: Promise<unknown>[] = [];
  const lines: unknown[] = [];
  const take: RequestListener = (_, res) =>
    void closed.push(once(res, "close"));
  const port = await startRelay([take, take], {
    route: {},
    onLog: (fields) => lines.push(fields.event),
  });
  const req = request({
    host: "127.0.0.1",
    port,
    path: "/x",
    agent: false,
    headers: { host: "h", "request-id": "r1", deadline: "2000" },
  });
  req.on("error", () => undefined);
  req.end();
  await vi.waitFor(() => expect(closed).toHaveLength(2));
  req.destroy();
  await Promise.all(closed);
  expect(lines).not.toContain(events.ATTEMPT_FAILED.id);
});

// Guards against callers that wait longer than necessary: the time for the
// connection came before that for the first byte.
test("another engine is asked soon after the first one is late", async () => {
  const answer: RequestListener = (_, res) => {
    res.writeHead(200, SEALED_HEADERS);
    res.end("well");
  };
  const port = await startRelay([hang, answer], { route: {} });
  const startedAt = performance.now();
  expect(await sendRequest(port)).toMatchObject({ status: 200, body: "well" });
  expect(performance.now() - startedAt).toBeLessThan(700);
});
