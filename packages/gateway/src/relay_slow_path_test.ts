import { createServer, request } from "node:http";
import { RESPONSE_HEADERS } from "@banyanlb/platform";
import { afterEach, expect, test } from "vitest";
import { DelayingProxy } from "./testing/delaying_proxy.ts";
import {
  addCleanup,
  cleanUp,
  portOf,
  startRelay,
} from "./testing/start_relay.ts";

afterEach(cleanUp);

/** Time that bytes take in each direction on a full link between regions, in
 * milliseconds. */
const FULL_LINK_DELAY_MS = 1000;

/** A request may reach an engine for this long after its caller has left, in
 * milliseconds. */
const LATE_AFTER_MS = 500;

/** Number of requests that may reach an engine later than that. */
const LATE_REQUESTS_MAX = 3;

/** Time between two requests, in milliseconds. */
const REQUEST_INTERVAL_MS = 50;

const ENGINE_MS = 20;

/** A whole response, also of a stream. */
const EVENT = "id: 1\ndata: a\n\n";

interface Arrival {
  readonly id: string;
  readonly at: number;
}

/** Starts engines, each behind a proxy, that note which requests they read. */
async function startEngines(count: number) {
  const arrivals: Arrival[] = [];
  const proxies: DelayingProxy[] = [];
  const ports: number[] = [];
  for (let i = 0; i < count; i += 1) {
    const server = createServer((req, res) => {
      const id = String(req.headers["request-id"]);
      arrivals.push({ id, at: performance.now() });
      setTimeout(() => {
        res.writeHead(200, {
          [RESPONSE_HEADERS.id]: id,
          [RESPONSE_HEADERS.seal]: "s",
        });
        res.end(EVENT);
      }, ENGINE_MS);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const proxy = new DelayingProxy(portOf(server));
    ports.push(await proxy.listen());
    proxies.push(proxy);
    addCleanup(() => {
      proxy.close();
      server.closeAllConnections();
      server.close();
    });
  }
  return { arrivals, proxies, ports };
}

/** Sends a request that its caller gives up after `patienceMs`; resolves to
 * when the caller left, or to undefined if it was answered. */
function callOnce(
  port: number,
  call: {
    readonly id: string;
    readonly deadlineMs: number;
    readonly patienceMs: number;
  },
): Promise<number | undefined> {
  return new Promise((resolve) => {
    const req = request({
      host: "127.0.0.1",
      port,
      path: "/x",
      agent: false,
      headers: {
        host: "h",
        "request-id": call.id,
        deadline: String(call.deadlineMs),
      },
    });
    const timer = setTimeout(() => {
      resolve(performance.now());
      req.destroy();
    }, call.patienceMs);
    // A caller that leaves emits an error.
    req.on("error", () => undefined);
    req.on("response", (response) => {
      response.resume();
      response.on("end", () => {
        clearTimeout(timer);
        resolve(undefined);
      });
    });
    req.end();
  });
}

/** Sends requests one after another, without waiting for their answers.
 * Resolves to the time at which each caller left that was not answered. */
async function callOften(
  port: number,
  calls: {
    readonly prefix: string;
    readonly count: number;
    readonly deadlineMs: number;
    readonly patienceMs: number;
  },
): Promise<ReadonlyMap<string, number>> {
  const leftAt = new Map<string, number>();
  const pending: Promise<void>[] = [];
  for (let i = 0; i < calls.count; i += 1) {
    const id = `${calls.prefix}${i}`;
    pending.push(
      callOnce(port, { ...calls, id }).then((at) => {
        if (at !== undefined) leftAt.set(id, at);
      }),
    );
    await delay(REQUEST_INTERVAL_MS);
  }
  await Promise.all(pending);
  return leftAt;
}

/** Requests that reached an engine long after their callers had left. */
function lateRequests(
  arrivals: readonly Arrival[],
  leftAt: ReadonlyMap<string, number>,
): readonly string[] {
  return arrivals.flatMap(({ id, at }) =>
    at > (leftAt.get(id) ?? Infinity) + LATE_AFTER_MS ? [id] : []
  );
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Sends requests that all wait for their responses: the relay learns how long
 * the paths take. */
async function callPatiently(port: number): Promise<void> {
  const unanswered = await callOften(port, {
    prefix: "patient",
    count: 20,
    deadlineMs: 4500,
    patienceMs: 5000,
  });
  expect(unanswered.size).toBe(0);
}

// Guards against requests that reach engines after their callers' deadlines,
// because a write into a connection was taken as an arrival at the engine.
test("a request that a slow path would deliver after its deadline is not sent", async () => {
  const { arrivals, proxies, ports } = await startEngines(2);
  const port = await startRelay(ports, { route: { timeoutMs: 5000 } });
  for (const proxy of proxies) proxy.delayMs = FULL_LINK_DELAY_MS;
  await callPatiently(port);
  const leftAt = await callOften(port, {
    prefix: "short",
    count: 40,
    deadlineMs: 400,
    patienceMs: 400,
  });
  await delay(2 * FULL_LINK_DELAY_MS);
  expect(lateRequests(arrivals, leftAt).length)
    .toBeLessThanOrEqual(LATE_REQUESTS_MAX);
});

// Guards against requests that reach engines after their callers have left
// early, because the choice of an engine does not know how slow its path is.
test("engines behind a slow path get no requests while others are free", async () => {
  const { arrivals, proxies, ports } = await startEngines(4);
  const port = await startRelay(ports, {
    route: { kind: "stream", timeoutMs: 5000, targetLatencyMs: 600 },
  });
  for (const proxy of proxies.slice(0, 2)) proxy.delayMs = FULL_LINK_DELAY_MS;
  await callPatiently(port);
  const leftAt = await callOften(port, {
    prefix: "early",
    count: 60,
    deadlineMs: 4500,
    patienceMs: 300,
  });
  await delay(2 * FULL_LINK_DELAY_MS);
  expect(lateRequests(arrivals, leftAt).length)
    .toBeLessThanOrEqual(LATE_REQUESTS_MAX);
});
