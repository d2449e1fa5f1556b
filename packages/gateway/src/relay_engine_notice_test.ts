import { RESPONSE_HEADERS } from "@banyanlb/platform";
import type { RequestListener } from "node:http";
import { afterEach, expect, test } from "vitest";
import {
  cleanUp,
  listen,
  portOf,
  SEALED_HEADERS,
  sendRequest,
  startRelays,
} from "./testing/start_relay.ts";

afterEach(cleanUp);

/** Within this time of an engine's answer requests may still reach it, and so many
 * after that, in milliseconds. */
const HEEDED_AFTER_MS = 500;
const ARRIVALS_MAX = 2;

/** Time for which a leaving engine may still be used, in milliseconds. */
const LEAVING_USE_MAX_MS = 2500;

const NOT_RUN_HEADERS = {
  [RESPONSE_HEADERS.id]: "r1",
  [RESPONSE_HEADERS.notRun]: "1",
};

const answer: RequestListener = (_, res) => {
  res.writeHead(200, SEALED_HEADERS);
  res.end("well");
};

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Sends requests to all instances for a time; returns the part that was
 * served. */
async function sendFor(ms: number, ports: readonly number[]): Promise<number> {
  const until = performance.now() + ms;
  let sent = 0;
  let served = 0;
  await Promise.all(ports.map(async (port) => {
    while (performance.now() < until) {
      const { status } = await sendRequest(port);
      sent += 1;
      if (status === 200) served += 1;
      await pause(40);
    }
  }));
  return served / sent;
}

// Nothing read the pause: the engine got requests all the while.
test.each([8, 60])(
  "each of %s instances heeds the pause that an engine asks it for",
  { timeout: 30_000 },
  async (instances) => {
    const pauseMs = 2000;
    let askedAt = Infinity;
    const arrivals: number[] = [];
    const engine = await listen((_, res) => {
      const now = performance.now();
      if (askedAt === Infinity) askedAt = now;
      arrivals.push(now);
      res.writeHead(503, {
        ...NOT_RUN_HEADERS,
        [RESPONSE_HEADERS.retryAfter]: String(pauseMs / 1000),
      });
      res.end();
    });
    const other = await listen(answer);
    const ports = await startRelays(
      instances,
      [portOf(engine), portOf(other)],
      { route: {} },
    );
    const served = await sendFor(pauseMs, ports);
    const late = arrivals.filter((at) => at > askedAt + HEEDED_AFTER_MS);
    expect(late.length).toBeLessThanOrEqual(ARRIVALS_MAX * instances);
    expect(arrivals.length).toBeLessThanOrEqual(
      instances * (1 + ARRIVALS_MAX),
    );
    expect(served).toBeGreaterThan(0.99);
  },
);

test("a caller is told when the first of the pausing engines is back", async () => {
  const pausing: RequestListener = (_, res) => {
    res.writeHead(503, {
      ...NOT_RUN_HEADERS,
      [RESPONSE_HEADERS.retryAfter]: "1.5",
    });
    res.end();
  };
  const [port = 0] = await startRelays(1, [
    portOf(await listen(pausing)),
    portOf(await listen(pausing)),
  ], { route: {} });
  await sendRequest(port);
  const startedAt = performance.now();
  const { status, retryAfter } = await sendRequest(port);
  expect(status).toBe(503);
  expect(performance.now() - startedAt).toBeLessThan(500);
  expect(Number(retryAfter)).toBeGreaterThan(1);
  expect(Number(retryAfter)).toBeLessThanOrEqual(1.5);
});

test.each(["-1", "", "soon", "Fri, 31 Dec 1999 23:59:59 GMT", "NaN", "1e9"])(
  "a pause of %j is none",
  async (value) => {
    let count = 0;
    const engine = await listen((_, res) => {
      count += 1;
      res.writeHead(503, {
        ...NOT_RUN_HEADERS,
        [RESPONSE_HEADERS.retryAfter]: value,
      });
      res.end();
    });
    const [port = 0] = await startRelays(1, [portOf(engine)], { route: {} });
    await sendRequest(port);
    const before = count;
    await sendRequest(port);
    expect(count).toBeGreaterThan(before);
  },
);

// Nothing read what engines say when they leave: they got requests as long as
// the list did not show it.
test("an engine that says in its answers that it is leaving gets no more requests", async () => {
  const arrivals: number[] = [];
  const engine = await listen((_, res) => {
    arrivals.push(performance.now());
    res.writeHead(200, {
      ...SEALED_HEADERS,
      [RESPONSE_HEADERS.leaving]: "1",
    });
    res.end("well");
  });
  const other = await listen(answer);
  const [port = 0] = await startRelays(
    1,
    [portOf(engine), portOf(other)],
    { route: {} },
  );
  while (arrivals.length === 0) await sendRequest(port);
  const saidAt = arrivals[0] ?? 0;
  const served = await sendFor(1000, [port]);
  const late = arrivals.filter((at) => at > saidAt + 200);
  expect(late).toEqual([]);
  expect(LEAVING_USE_MAX_MS).toBeGreaterThan(200);
  expect(served).toBe(1);
});
