import { afterEach, expect, test } from "vitest";
import { startEndingEngines } from "../testing/ending_engines.ts";
import {
  cleanUp,
  SEALED_HEADERS,
  sendRequest,
  startRelay,
} from "../testing/start_relay.ts";

afterEach(cleanUp);

const FIRST_PART = "f0";
const CRASHING_PART = "dead";
const ENGINE_COUNT = 12;

/** Crashes that a part may cause before requests with it are stopped. */
const CRASHES_MAX = 3;

/** Starts engines that end as soon as they begin to answer a prompt with
 * `CRASHING_PART`. */
async function startCrashingEngines(count = ENGINE_COUNT) {
  let crashCount = 0;
  const { ports } = await startEndingEngines(count, (req, res, end) => {
    res.writeHead(200, SEALED_HEADERS);
    res.write("id: 1\ndata: a\n\n");
    if (!String(req.headers["prompt-prefix"]).includes(CRASHING_PART)) {
      res.end("id: 2\ndata: b\n\n");
      return;
    }
    crashCount += 1;
    end(5);
  });
  return { ports, crashCount: () => crashCount };
}

const promptOf = (...parts: readonly string[]) => ({
  "prompt-prefix": parts.map((part) => `${part}:10`).join(","),
});

// Each request with such a part ended the engine that it was sent to, its
// repeat the next one, until no engine of the service was left.
// With eight or more shared parts behind it, the part was never suspected.
test.each([0, 12])(
  "requests with a prompt part that crashes engines stop reaching engines, %i parts behind it",
  async (behind) => {
    const engines = await startCrashingEngines();
    const port = await startRelay(engines.ports, {
      route: { kind: "stream", resumable: true, maxAttempts: 3 },
    });
    const sound = promptOf(FIRST_PART, "a1", "01");
    expect((await sendRequest(port, sound)).isComplete).toBe(true);
    const statuses: number[] = [];
    for (let i = 0; i < ENGINE_COUNT; i += 1) {
      const own = (i + 16).toString(16);
      const response = await sendRequest(
        port,
        promptOf(
          FIRST_PART,
          "c6",
          CRASHING_PART,
          ...Array.from({ length: behind }, (_, k) => `${own}${k + 10}`),
          own,
        ),
      );
      statuses.push(response.status);
      for (const middle of ["a1", "c6"]) {
        expect(await sendRequest(port, promptOf(FIRST_PART, middle, own)))
          .toMatchObject({ status: 200, isComplete: true });
      }
    }
    expect(engines.crashCount()).toBeLessThanOrEqual(CRASHES_MAX);
    expect(statuses.slice(-6)).toEqual(Array(6).fill(503));
  },
);

// One attempt each: a request that is repeated would be held itself.
test("a request with a held part is told that it has not run, and no time to return", async () => {
  const engines = await startCrashingEngines(4);
  const lines: Readonly<Record<string, unknown>>[] = [];
  const port = await startRelay(engines.ports, {
    route: { kind: "stream", resumable: true, maxAttempts: 1 },
    onLog: (fields) => lines.push(fields),
  });
  await sendRequest(port, promptOf(FIRST_PART, "a1", "00"));
  for (const own of ["01", "02"]) {
    await sendRequest(port, promptOf(FIRST_PART, CRASHING_PART, own));
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  const response = await sendRequest(
    port,
    promptOf(FIRST_PART, CRASHING_PART, "03"),
  );
  expect(response).toMatchObject({ status: 503, retryAfter: undefined });
  expect(JSON.parse(response.body)).toEqual({
    error: { type: "held_part", not_run: true },
  });
  expect(lines).toContainEqual(expect.objectContaining({
    event: 849,
    part: CRASHING_PART,
    crashes: 2,
    answers: 0,
  }));
  expect(engines.crashCount()).toBe(2);
});
