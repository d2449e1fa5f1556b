import { request, type RequestListener } from "node:http";
import { RESPONSE_HEADERS } from "@banyanlb/platform";
import { afterEach, expect, test } from "vitest";
import {
  cleanUp,
  SEALED_HEADERS,
  sendRequest,
  startRelay,
} from "./testing/start_relay.ts";

afterEach(cleanUp);

const respondOk: RequestListener = (_, res) => {
  res.writeHead(200, SEALED_HEADERS);
  res.end("well");
};

// Without these fields the log cannot tell which configuration handled a
// request, and how old it was.
test("the line of each request names its configuration", async () => {
  const lines: Readonly<Record<string, unknown>>[] = [];
  const port = await startRelay([respondOk], {
    route: { pathPrefix: "/x" },
    onLog: (fields) => lines.push(fields),
  });
  await sendRequest(port);
  await sendRequest(port, { host: "other" });
  expect(lines).toMatchObject([
    { status: 200, configuration: 1, configurationAgeMs: 70 },
    { reason: "no_route", configuration: 1, configurationAgeMs: 70 },
  ]);
});

test("an unsafe request whose response is lost gets 502 and is sent once", async () => {
  let requestCount = 0;
  const dropConnection: RequestListener = (req) => {
    requestCount += 1;
    req.socket.destroy();
  };
  const port = await startRelay([dropConnection, dropConnection], {
    route: { kind: "unsafe", maxAttempts: 2 },
  });
  expect((await sendRequest(port)).status).toBe(502);
  expect(requestCount).toBe(1);
});

test("a request that an engine did not run is retried at another or gets 503", async () => {
  const respondNotRun: RequestListener = (_, res) => {
    res.writeHead(503, {
      [RESPONSE_HEADERS.id]: "r1",
      [RESPONSE_HEADERS.notRun]: "1",
    });
    res.end();
  };
  const singleEnginePort = await startRelay([respondNotRun], {
    route: { kind: "unsafe" },
  });
  expect((await sendRequest(singleEnginePort)).status).toBe(503);
  const port = await startRelay([respondNotRun, respondOk], {
    route: { kind: "unsafe" },
  });
  expect(await sendRequest(port)).toMatchObject({ status: 200, body: "well" });
});

test("a safe request that fails at a degraded engine is retried at another", async () => {
  const respondWithError: RequestListener = (_, res) => {
    res.writeHead(500, SEALED_HEADERS);
    res.end("bad");
  };
  const port = await startRelay([respondWithError, respondOk], { route: {} });
  for (let i = 0; i < 4; i += 1) {
    expect(await sendRequest(port)).toMatchObject({
      status: 200,
      body: "well",
    });
  }
  const allFailingPort = await startRelay(
    [respondWithError, respondWithError],
    { route: {} },
  );
  expect(await sendRequest(allFailingPort)).toMatchObject({
    status: 500,
    body: "bad",
  });
});

test("a response to another request or without a seal is not forwarded", async () => {
  const respondForOtherRequest: RequestListener = (_, res) => {
    res.writeHead(200, { ...SEALED_HEADERS, [RESPONSE_HEADERS.id]: "r2" });
    res.end("other");
  };
  const respondUnsealed: RequestListener = (_, res) => {
    res.writeHead(200, { [RESPONSE_HEADERS.id]: "r1" });
    res.end("unsealed");
  };
  for (const handle of [respondForOtherRequest, respondUnsealed]) {
    const port = await startRelay([handle], { route: { kind: "unsafe" } });
    expect((await sendRequest(port)).status).toBe(502);
  }
});

test("another engine continues a broken stream after its last whole event", async () => {
  const lastEventIds: (string | undefined)[] = [];
  const breakStream: RequestListener = (req, res) => {
    lastEventIds.push(req.headers["last-event-id"] as string | undefined);
    res.writeHead(200, SEALED_HEADERS);
    if (req.headers["last-event-id"] === undefined) {
      res.write("id: 1\ndata: a\n\nid: 2\nda");
      setTimeout(() => req.socket.destroy(), 20);
    } else res.end("id: 2\ndata: b\n\n");
  };
  const port = await startRelay([breakStream, breakStream], {
    route: { kind: "stream", resumable: true },
  });
  const response = await sendRequest(port);
  expect(response.body).toBe("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  expect(response.isComplete).toBe(true);
  expect(lastEventIds).toEqual([undefined, "1"]);
});

test("a broken stream that is not resumable ends incomplete", async () => {
  const breakStream: RequestListener = (req, res) => {
    res.writeHead(200, SEALED_HEADERS);
    res.write("id: 1\ndata: a\n\n");
    setTimeout(() => req.socket.destroy(), 20);
  };
  const port = await startRelay([breakStream, respondOk], {
    route: { kind: "stream", resumable: false },
  });
  expect((await sendRequest(port)).isComplete).toBe(false);
});

test("no request is sent if the caller disconnects during an adapter load", async () => {
  let requestCount = 0;
  let finishLoad: (ok: boolean) => void = () => undefined;
  const port = await startRelay([(_, res) => {
    requestCount += 1;
    res.end();
  }], {
    route: { kind: "stream" },
    load: () =>
      new Promise((resolve) => {
        finishLoad = resolve;
      }),
  });
  const req = request({
    host: "127.0.0.1",
    port,
    agent: false,
    headers: { host: "h", "request-id": "r1", model: "m/a1" },
  });
  // The test aborts the request, which emits an error.
  req.on("error", () => undefined);
  req.end();
  await new Promise((resolve) => setTimeout(resolve, 50));
  req.destroy();
  await new Promise((resolve) => setTimeout(resolve, 50));
  finishLoad(true);
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(requestCount).toBe(0);
});

test("a caller that disconnects aborts the request at the engine", async () => {
  let isClosed = false;
  const port = await startRelay([(_, res) => {
    res.on("close", () => (isClosed = true));
    res.writeHead(200, SEALED_HEADERS);
    res.write("id: 1\n\n");
  }], { route: { kind: "stream" } });
  const req = request({
    host: "127.0.0.1",
    port,
    agent: false,
    headers: { host: "h", "request-id": "r1" },
  });
  // The test aborts the request, which emits an error.
  req.on("error", () => undefined);
  req.on("response", (response) => response.once("data", () => req.destroy()));
  req.end();
  await new Promise((resolve) => setTimeout(resolve, 200));
  expect(isClosed).toBe(true);
});
