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

/** The deployments' bound: from this time after the first answer that says so, an
 * engine must not have to turn more away than it bears. */
const HEEDED_AFTER_MS = 3000;
const TEST_MS = 7000;
const REFUSALS_MAX = 8;
const SERVED_AT_A_TIME = 2;
const SERVICE_MS = 60;

// Guards against engines that end, since many instances at once send them more
// than they have room for.
test("8 instances let a brittle engine turn few requests away", async () => {
  const refusals: number[] = [];
  let firstSaidAt: number | undefined;
  let running = 0;
  const answer: RequestListener = (_, res) => {
    const headers = { [RESPONSE_HEADERS.brittleLimit]: String(REFUSALS_MAX) };
    firstSaidAt ??= performance.now();
    if (running >= SERVED_AT_A_TIME) {
      refusals.push(performance.now());
      res.writeHead(503, {
        ...headers,
        [RESPONSE_HEADERS.id]: "r1",
        [RESPONSE_HEADERS.notRun]: "1",
      });
      res.end();
      return;
    }
    running += 1;
    setTimeout(() => {
      running -= 1;
      res.writeHead(200, { ...SEALED_HEADERS, ...headers });
      res.end("well");
    }, SERVICE_MS);
  };
  const engines = [portOf(await listen(answer))];
  const ports = await startRelays(8, engines, { route: {} });
  let served = 0;
  const until = performance.now() + TEST_MS;
  await Promise.all([...ports, ...ports, ...ports].map(async (port) => {
    while (performance.now() < until) {
      const { status } = await sendRequest(port);
      if (status === 200) served += 1;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }));
  const heededFrom = (firstSaidAt ?? 0) + HEEDED_AFTER_MS;
  const counts = refusals.filter((at) => at >= heededFrom).map((start) =>
    refusals.filter((at) => at >= start && at < start + 1000).length
  );
  expect(Math.max(0, ...counts)).toBeLessThanOrEqual(REFUSALS_MAX);
  expect(served).toBeGreaterThan(20);
});
