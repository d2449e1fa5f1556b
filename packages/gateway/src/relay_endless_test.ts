import { RESPONSE_HEADERS } from "@banyanlb/platform";
import { afterEach, expect, test, vi } from "vitest";
import { EndlessEngine } from "./testing/endless_engine.ts";
import {
  addCleanup,
  cleanUp,
  listen,
  portOf,
  SEALED_HEADERS,
  sendRequest,
  startRelay,
} from "./testing/start_relay.ts";

/** Most bytes that one endless response may bring, in bytes: the limit of a
 * response and what socket buffers hold. */
const RECEIVED_MAX_BYTES = 32 * 1024 * 1024;

/** Most bytes that an endless head may bring, in bytes: its limit and what
 * socket buffers hold. */
const HEAD_MAX_BYTES = 16 * 1024 * 1024;

/** Time within which a response that never ends is given up, in milliseconds.
 * It is shorter than the deadline of the requests, 10 s. */
const GIVEN_UP_WITHIN_MS = 3000;

/** Growth of the process's memory that counts as flat, in bytes. */
const GROWTH_MAX_BYTES = 160 * 1024 * 1024;

const DEADLINE = { deadline: "10000" };
const ROUTE = { timeoutMs: 10_000, targetLatencyMs: 2000 };
const SEALED = `${RESPONSE_HEADERS.id}: r1\r\n${RESPONSE_HEADERS.seal}: s\r\n`;
const NOT_RUN =
  `${RESPONSE_HEADERS.id}: r1\r\n${RESPONSE_HEADERS.notRun}: 1\r\n`;
const OK = "HTTP/1.1 200 OK\r\n";
const CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
const CHUNK = `400\r\n${"x".repeat(1024)}\r\n`;

afterEach(cleanUp);

async function startEndless(
  prefix: string,
  filler: string,
  options?: { readonly pauseMs: number },
) {
  const engine = new EndlessEngine(prefix, filler, options);
  addCleanup(() => engine.close());
  return { engine, port: await engine.listen() };
}

function startHealthy() {
  return listen((_, res) => {
    res.writeHead(200, SEALED_HEADERS);
    res.end("well");
  });
}

interface EndlessCase {
  readonly name: string;
  readonly prefix: string;
  readonly filler: string;
  readonly status: number;
  readonly maxBytes: number;
}

const HEAD_CASES: readonly EndlessCase[] = [
  ["status line", `${OK.trimEnd()} `, "x"],
  ["header", `${OK}X: `, "x"],
  ["list of headers", OK, "X: y\r\n"],
  ["series of informational heads", "", "HTTP/1.1 103 Early\r\n\r\n"],
  ["series of empty lines", "", "\r\n"],
  ["text that is no head", "", "no answer "],
  ["name of a header", OK, "x"],
  ["header in folded lines", `${OK}X: y\r\n`, " z\r\n"],
  ["informational head", "HTTP/1.1 103 Early\r\n", "X: y\r\n"],
  [
    "series of informational heads with headers",
    "",
    "HTTP/1.1 102 A\r\nX: y\r\n\r\n",
  ],
].map(([name = "", prefix = "", filler = ""]) => ({
  name: `a ${name}`,
  prefix,
  filler,
  status: 502,
  maxBytes: HEAD_MAX_BYTES,
}));

const BODY_CASES: readonly EndlessCase[] = [
  ["body in chunks", `${OK}${SEALED}${CHUNKED}`, CHUNK],
  ["body until the connection closes", `${OK}${SEALED}\r\n`, "x"],
  [
    "body of enormous length",
    `${OK}${SEALED}Content-Length: 99999999999999\r\n\r\n`,
    "x",
  ],
  ["chunk extension", `${OK}${SEALED}${CHUNKED}4;`, "x"],
  ["trailer", `${OK}${SEALED}${CHUNKED}0\r\n`, "X: y\r\n"],
  ["line of a trailer", `${OK}${SEALED}${CHUNKED}0\r\nX: `, "y"],
  ["body in chunks of one byte", `${OK}${SEALED}${CHUNKED}`, "1\r\nx\r\n"],
  ["size of a chunk", `${OK}${SEALED}${CHUNKED}`, "0"],
  ["chunk of enormous size", `${OK}${SEALED}${CHUNKED}ffffffffff\r\n`, "x"],
  [
    "body in another coding",
    `${OK}${SEALED}Transfer-Encoding: gzip\r\n\r\n`,
    "x",
  ],
  ["body of a redirect", `HTTP/1.1 302 Found\r\n${SEALED}${CHUNKED}`, CHUNK],
  [
    "body without a seal",
    `${OK}${RESPONSE_HEADERS.id}: r1\r\n${CHUNKED}`,
    CHUNK,
  ],
  [
    "body for another request",
    `${OK}${RESPONSE_HEADERS.id}: r2\r\n${RESPONSE_HEADERS.seal}: s\r\n${CHUNKED}`,
    CHUNK,
  ],
  [
    "body of an error in chunks of one byte",
    `HTTP/1.1 500 Error\r\n${SEALED}${CHUNKED}`,
    "1\r\nx\r\n",
  ],
  [
    "body of an error",
    `HTTP/1.1 500 Error\r\n${SEALED}${CHUNKED}`,
    CHUNK,
  ],
  [
    "body of a refused order",
    `HTTP/1.1 404 Not Found\r\n${SEALED}${CHUNKED}`,
    CHUNK,
  ],
].map(([name = "", prefix = "", filler = ""]) => ({
  name: `a ${name}`,
  prefix,
  filler,
  status: 502,
  maxBytes: RECEIVED_MAX_BYTES,
}));

const NOT_RUN_CASE: EndlessCase = {
  name: "a body of a response that says not run",
  prefix: `HTTP/1.1 503 Busy\r\n${NOT_RUN}${CHUNKED}`,
  filler: CHUNK,
  status: 503,
  maxBytes: RECEIVED_MAX_BYTES,
};

// The engine sends bytes without end until the gateway closes the connection.
test.each([...HEAD_CASES, ...BODY_CASES, NOT_RUN_CASE])(
  "endless: $name is given up in time and its connection closed",
  async ({ prefix, filler, status, maxBytes }) => {
    const { engine, port } = await startEndless(prefix, filler);
    const relayPort = await startRelay([port], {
      route: { ...ROUTE, kind: "unsafe" },
    });
    const startedAt = performance.now();
    const rssBytes = process.memoryUsage().rss;
    const response = await sendRequest(relayPort, DEADLINE);
    expect(performance.now() - startedAt).toBeLessThan(GIVEN_UP_WITHIN_MS);
    expect(response.status).toBe(status);
    await vi.waitFor(() => expect(engine.openConnections).toBe(0));
    expect(engine.requests).toBe(1);
    expect(engine.sentBytes).toBeLessThan(maxBytes);
    expect(process.memoryUsage().rss - rssBytes)
      .toBeLessThan(GROWTH_MAX_BYTES);
  },
);

// A resumable stream is kept back until an event is complete.
// Whole events are what the caller asked for: they end with the size of the
// response or with the deadline.
test.each([
  ["an event that never ends", "data: x\n", GIVEN_UP_WITHIN_MS],
  ["a line that never ends", "x", GIVEN_UP_WITHIN_MS],
  [
    "events without end",
    `id: 1\ndata: ${"x".repeat(1000)}\n\n`,
    11_000,
  ],
])(
  "endless: a stream with %s breaks off visibly",
  async (_, data, withinMs) => {
    const size = Buffer.byteLength(data).toString(16);
    const rssBytes = process.memoryUsage().rss;
    const { engine, port } = await startEndless(
      `${OK}${SEALED}${CHUNKED}`,
      `${size}\r\n${data}\r\n`,
    );
    const relayPort = await startRelay([port], {
      route: { ...ROUTE, kind: "stream", resumable: true, maxAttempts: 1 },
    });
    const startedAt = performance.now();
    const response = await sendRequest(relayPort, DEADLINE);
    expect(performance.now() - startedAt).toBeLessThan(withinMs);
    expect(response).toMatchObject({ status: 200, isComplete: false });
    expect(response.body.length).toBeLessThan(RECEIVED_MAX_BYTES / 2);
    await vi.waitFor(() => expect(engine.openConnections).toBe(0));
    expect(engine.sentBytes).toBeLessThan(2 * RECEIVED_MAX_BYTES);
    expect(process.memoryUsage().rss - rssBytes)
      .toBeLessThan(GROWTH_MAX_BYTES);
  },
);

test.each(HEAD_CASES.slice(0, 3))(
  "endless: $name that comes slowly ends with the deadline",
  async ({ prefix, filler }) => {
    const { engine, port } = await startEndless(prefix, filler, {
      pauseMs: 20,
    });
    const relayPort = await startRelay([port], {
      route: { kind: "unsafe", timeoutMs: 600 },
    });
    const startedAt = performance.now();
    const response = await sendRequest(relayPort, { deadline: "600" });
    expect(performance.now() - startedAt).toBeLessThan(1500);
    expect(response.status).toBe(504);
    await vi.waitFor(() => expect(engine.openConnections).toBe(0));
  },
);

test("endless: a slow body of a response that says not run is not awaited", async () => {
  const { engine, port } = await startEndless(
    NOT_RUN_CASE.prefix,
    NOT_RUN_CASE.filler,
    { pauseMs: 100 },
  );
  const relayPort = await startRelay([port], {
    route: { ...ROUTE, kind: "unsafe" },
  });
  const startedAt = performance.now();
  const response = await sendRequest(relayPort, DEADLINE);
  expect(performance.now() - startedAt).toBeLessThan(1500);
  expect(response.status).toBe(503);
  await vi.waitFor(() => expect(engine.openConnections).toBe(0));
});

// Memory is limited over all responses, not only for each of them.
test("endless: many responses at once leave memory flat and others served", async () => {
  const { engine, port } = await startEndless(
    `${OK}${SEALED}${CHUNKED}`,
    CHUNK,
  );
  const relayPort = await startRelay([port], {
    route: { ...ROUTE, kind: "unsafe" },
  });
  const healthyPort = await startRelay([portOf(await startHealthy())], {
    route: { ...ROUTE, kind: "unsafe" },
  });
  const rssBytes = process.memoryUsage().rss;
  let peakBytes = rssBytes;
  const sampler = setInterval(() => {
    peakBytes = Math.max(peakBytes, process.memoryUsage().rss);
  }, 10);
  addCleanup(() => clearInterval(sampler));
  const endless = Promise.all(
    Array.from({ length: 24 }, () => sendRequest(relayPort, DEADLINE)),
  );
  for (let i = 0; i < 10; i += 1) {
    const startedAt = performance.now();
    const response = await sendRequest(healthyPort, DEADLINE);
    expect(response).toMatchObject({ status: 200, body: "well" });
    expect(performance.now() - startedAt).toBeLessThan(2000);
  }
  // Once the engine counts as failing, requests are refused without being sent.
  const statuses = (await endless).map(({ status }) => status);
  const sent = statuses.filter((status) => status === 502);
  expect(sent.length).toBe(engine.requests);
  expect(statuses.filter((status) => status === 503).length)
    .toBe(statuses.length - sent.length);
  await vi.waitFor(() => expect(engine.openConnections).toBe(0));
  expect(peakBytes - rssBytes).toBeLessThan(GROWTH_MAX_BYTES);
});

// Bytes after a complete response, while no request waits for any.
test("endless: bytes on a kept connection close it", async () => {
  const { engine, port } = await startEndless(
    `${OK}${SEALED}Content-Length: 4\r\n\r\nwell`,
    "x",
  );
  const relayPort = await startRelay([port], { route: ROUTE });
  const response = await sendRequest(relayPort, DEADLINE);
  expect([200, 502]).toContain(response.status);
  await vi.waitFor(() => expect(engine.openConnections).toBe(0));
  expect(engine.sentBytes).toBeLessThan(RECEIVED_MAX_BYTES);
});

// A safe request is answered by another engine.
test("endless: a safe request is served by another engine", async () => {
  const { port } = await startEndless(`${OK}${SEALED}${CHUNKED}`, CHUNK);
  const relayPort = await startRelay(
    [port, portOf(await startHealthy())],
    { route: { ...ROUTE, kind: "safe", maxAttempts: 2 } },
  );
  for (let i = 0; i < 4; i += 1) {
    expect(await sendRequest(relayPort, DEADLINE)).toMatchObject({
      status: 200,
      body: "well",
    });
  }
});
