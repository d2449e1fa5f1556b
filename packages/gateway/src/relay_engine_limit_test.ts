import type { RequestListener } from "node:http";
import { RESPONSE_HEADERS } from "@banyanlb/platform";
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

/** The deployments' bounds: the sum of all instances in any window, from the
 * time after which they must heed a limit that was named. */
const WINDOW_MS = 4000;
const HEEDED_AFTER_MS = 3000;
const allowedIn = (limit: number) => 1.5 * limit * WINDOW_MS / 1000 + 5;

const REQUEST_INTERVAL_MS = 100;

/** Starts instances before two engines, of which the first names a limit, and
 * sends requests through all of them for the time of two windows. Returns the
 * most requests that reached that engine in one window once it must be heeded,
 * and the part of all requests that was served. */
async function measure(instanceCount: number, limit: number) {
  const arrivals: number[] = [];
  let firstNamedAt: number | undefined;
  const answerWithLimit: RequestListener = (_, res) => {
    const now = performance.now();
    firstNamedAt ??= now;
    arrivals.push(now);
    res.writeHead(200, {
      ...SEALED_HEADERS,
      [RESPONSE_HEADERS.requestLimit]: String(limit),
    });
    res.end("well");
  };
  const answer: RequestListener = (_, res) => {
    res.writeHead(200, SEALED_HEADERS);
    res.end("well");
  };
  const engines = [
    portOf(await listen(answerWithLimit)),
    portOf(await listen(answer)),
  ];
  const ports = await startRelays(instanceCount, engines, { route: {} });
  let served = 0;
  let sent = 0;
  const until = performance.now() + HEEDED_AFTER_MS + 1.5 * WINDOW_MS;
  await Promise.all(ports.map(async (port, i) => {
    await pause(i * REQUEST_INTERVAL_MS / ports.length);
    while (performance.now() < until) {
      const response = await sendRequest(port);
      sent += 1;
      if (response.status === 200) served += 1;
      await pause(REQUEST_INTERVAL_MS);
    }
  }));
  const heededFrom = (firstNamedAt ?? 0) + HEEDED_AFTER_MS;
  const counts = arrivals.filter((at) => at >= heededFrom).map((start) =>
    arrivals.filter((at) => at >= start && at < start + WINDOW_MS).length
  );
  return { most: Math.max(0, ...counts), servedRatio: served / sent };
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

// Nothing read the limit: the engine got its full share of the requests.
test.each([
  { instances: 8, limit: 1.5 },
  { instances: 60, limit: 2.2 },
])(
  "$instances instances together heed an engine's limit of $limit a second",
  { timeout: 30_000 },
  async ({ instances, limit }) => {
    const { most, servedRatio } = await measure(instances, limit);
    expect(most).toBeLessThanOrEqual(allowedIn(limit));
    expect(servedRatio).toBeGreaterThan(0.99);
  },
);

test("a request beyond the limits of all engines is refused with a time to return", async () => {
  const engine = await listen((_, res) => {
    res.writeHead(200, {
      ...SEALED_HEADERS,
      [RESPONSE_HEADERS.requestLimit]: "0.5",
    });
    res.end("well");
  });
  const [port] = await startRelays(1, [portOf(engine)], { route: {} });
  if (port === undefined) throw new Error("no relay");
  expect((await sendRequest(port)).status).toBe(200);
  const refused = await sendRequest(port);
  expect(refused.status).toBe(503);
  // One request in two seconds; the first was just sent.
  expect(Number(refused.retryAfter)).toBeGreaterThan(1);
  expect(Number(refused.retryAfter)).toBeLessThanOrEqual(2);
  await pause(Number(refused.retryAfter) * 1000);
  expect((await sendRequest(port)).status).toBe(200);
});
