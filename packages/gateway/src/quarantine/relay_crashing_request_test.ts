import { request, type RequestListener } from "node:http";
import { afterEach, expect, test } from "vitest";
import { startEndingEngines } from "../testing/ending_engines.ts";
import {
  cleanUp,
  listen,
  portOf,
  SEALED_HEADERS,
  sendRequest,
  startRelay,
} from "../testing/start_relay.ts";

afterEach(cleanUp);

const ENGINE_COUNT = 12;

/** Crashes that a request may cause before it is stopped. */
const CRASHES_MAX = 3;

interface Case {
  readonly method: string;
  readonly kind: "safe" | "unsafe" | "stream";
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

const CASES: readonly (readonly [string, Case])[] = [
  ["a read", { method: "GET", kind: "safe" }],
  ["a call that must not run twice", {
    method: "POST",
    kind: "unsafe",
    body: "strike",
  }],
  ["a stream", {
    method: "POST",
    kind: "stream",
    headers: { "prompt-prefix": "f0:10,a1:5,77:9" },
    body: "prompt",
  }],
  ["a stream that goes on", {
    method: "POST",
    kind: "stream",
    headers: { "prompt-prefix": "f0:10,a1:5,77:9", "last-event-id": "3" },
    body: "prompt",
  }],
];

/** Starts engines that end when a request for `/bad` begins there. */
async function startCrashingEngines(count: number) {
  let crashCount = 0;
  const { ports } = await startEndingEngines(count, (req, res, end) => {
    req.resume();
    if (req.url !== "/bad") {
      res.writeHead(200, SEALED_HEADERS);
      res.end("id: 4\ndata: a\n\n");
      return;
    }
    crashCount += 1;
    end(5);
  });
  return { ports, crashCount: () => crashCount };
}

const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

// Guards against a request without shared prompt parts that ends engine after
// engine: nothing was learnt from its crashes.
test.each(CASES)(
  "%s that crashes engines stops reaching them",
  async (_, { method, kind, headers, body }) => {
    const engines = await startCrashingEngines(ENGINE_COUNT);
    const port = await startRelay(engines.ports, {
      route: { kind, resumable: kind === "stream", maxAttempts: 3 },
    });
    const send = (path: string) =>
      sendRequest(port, headers, { method, path, body });
    const statuses: number[] = [];
    for (let i = 0; i < ENGINE_COUNT; i += 1) {
      statuses.push((await send("/bad")).status);
      expect(await send("/good")).toMatchObject({ status: 200 });
    }
    expect(engines.crashCount()).toBeLessThanOrEqual(CRASHES_MAX);
    expect(statuses.slice(-6)).toEqual(Array(6).fill(503));
  },
);

// Guards against callers who come back in vain, and against an operator who cannot
// tell which request is meant.
test("a held request is told that it has not run, and is named in the log", async () => {
  const engines = await startCrashingEngines(4);
  const lines: Readonly<Record<string, unknown>>[] = [];
  const port = await startRelay(engines.ports, {
    route: { maxAttempts: 3 },
    onLog: (fields) => lines.push(fields),
  });
  await sendRequest(port, {}, { path: "/bad" });
  await pause(100);
  const response = await sendRequest(port, {}, { path: "/bad" });
  expect(response).toMatchObject({ status: 503, retryAfter: undefined });
  expect(JSON.parse(response.body)).toEqual({
    error: { type: "held_request", not_run: true },
  });
  const name = expect.stringMatching(/^req-[0-9a-f]{32}$/);
  expect(lines).toContainEqual(
    expect.objectContaining({ event: 849, request: name, crashes: 2 }),
  );
  expect(engines.crashCount()).toBe(2);
});

// Guards against a service that is lost to one request and its repeats.
test("a request that may have ended an engine is not sent to the last one", async () => {
  const engines = await startCrashingEngines(2);
  const port = await startRelay(engines.ports, { route: { kind: "unsafe" } });
  const bad = { method: "POST", path: "/bad" };
  expect(await sendRequest(port, {}, bad)).toMatchObject({ status: 502 });
  await pause(100);
  const response = await sendRequest(port, {}, bad);
  expect(response.status).toBe(503);
  expect(Number(response.retryAfter)).toBeGreaterThan(0);
  expect(engines.crashCount()).toBe(1);
  expect(await sendRequest(port, {}, { path: "/good" }))
    .toMatchObject({ status: 200 });
});

// Guards against a sound read that is refused for good since its answer, an error of
// the caller's, does not speak for it.
test("a read that is answered with 404 is not held because engines end by themselves", async () => {
  let mayEnd = false;
  const ports: number[] = [];
  for (let i = 0; i < 6; i += 1) {
    const server = await listen((req, res) => {
      req.resume();
      if (mayEnd) {
        mayEnd = false;
        server.close();
        server.closeAllConnections();
        return;
      }
      res.writeHead(404, SEALED_HEADERS);
      res.end();
    });
    ports.push(portOf(server));
  }
  const port = await startRelay(ports, { route: { maxAttempts: 3 } });
  const statuses: number[] = [];
  for (let i = 0; i < 20; i += 1) {
    mayEnd = i === 5 || i === 10;
    statuses.push((await sendRequest(port, {}, { path: "/absent" })).status);
    await pause(60);
  }
  expect(statuses).toEqual(Array(20).fill(404));
});

/** Starts engines that end some time after a request has begun there, whether or
 * not somebody still waits for it. */
function startLateCrashingEngines(count: number, endMs: number) {
  return startEndingEngines(count, (req, _, end) => {
    req.resume();
    end(endMs);
  });
}

// Guards against a request that ends engine after engine unnoticed, since nobody
// waits for it any more when they end.
test.each(
  [
    ["after its deadline", "unsafe", 300, 600],
    ["after it was handed over, and after its deadline", "safe", 1000, 1300],
  ] as const,
)(
  "a request whose engines end %s stops reaching them",
  async (_, kind, timeoutMs, endMs) => {
    const engines = await startLateCrashingEngines(ENGINE_COUNT, endMs);
    const port = await startRelay(engines.ports, {
      route: { kind, timeoutMs, maxAttempts: 3 },
    });
    for (let i = 0; i < 8; i += 1) {
      await sendRequest(port, {}, { path: "/bad" });
      await pause(endMs);
    }
    expect(engines.endedCount()).toBeLessThanOrEqual(2 * CRASHES_MAX);
  },
);

// Guards against a request that ends engine after engine unnoticed, since its
// caller gives up sooner.
test("a request whose caller leaves before the engine ends stops reaching them", async () => {
  const engines = await startLateCrashingEngines(ENGINE_COUNT, 60);
  const port = await startRelay(engines.ports, { route: { kind: "unsafe" } });
  for (let i = 0; i < 8; i += 1) {
    const req = request({
      host: "127.0.0.1",
      port,
      path: "/bad",
      agent: false,
      headers: { host: "h", "request-id": "r1", deadline: "2000" },
    });
    req.on("error", () => undefined);
    req.end();
    await pause(30);
    req.destroy();
    await pause(200);
  }
  expect(engines.endedCount()).toBeGreaterThan(0);
  expect(engines.endedCount()).toBeLessThanOrEqual(2 * CRASHES_MAX);
});

// Guards against a sound read that is given up since two connections broke off,
// although their engines run.
test("a read is repeated if the engines that broke it off still run", async () => {
  const breakOff: RequestListener = (req) => {
    setTimeout(() => req.socket.destroy(), 100);
  };
  const port = await startRelay([breakOff, breakOff, (_, res) => {
    res.writeHead(200, SEALED_HEADERS);
    res.end("a");
  }], { route: { maxAttempts: 3 } });
  expect(await sendRequest(port)).toMatchObject({ status: 200 });
});

// Guards against a stream that ends engine after engine, since its first bytes speak
// for it each time.
test("a stream that ends engines after its beginning stops reaching them", async () => {
  let crashCount = 0;
  const ports: number[] = [];
  for (let i = 0; i < ENGINE_COUNT; i += 1) {
    const server = await listen((req, res) => {
      req.resume();
      res.writeHead(200, SEALED_HEADERS);
      const timer = setInterval(() => res.write("id: 1\ndata: a\n\n"), 50);
      setTimeout(() => {
        clearInterval(timer);
        crashCount += 1;
        server.close();
        server.closeAllConnections();
      }, 600);
    });
    ports.push(portOf(server));
  }
  const port = await startRelay(ports, {
    route: { kind: "stream", resumable: true, maxAttempts: 1 },
  });
  for (let i = 0; i < 8; i += 1) {
    await sendRequest(port, {}, { method: "POST", path: "/bad", body: "b" });
    await pause(100);
  }
  expect(crashCount).toBeLessThanOrEqual(2 * CRASHES_MAX);
});
