import type { RequestListener } from "node:http";
import { afterEach, expect, test } from "vitest";
import {
  cleanUp,
  SEALED_HEADERS,
  sendRequest,
  startRelay,
} from "../testing/start_relay.ts";

afterEach(cleanUp);

const answer: RequestListener = (_, res) => {
  res.writeHead(200, SEALED_HEADERS);
  res.end("well");
};

/** Starts a relay whose engines hold no adapter. The first one replies to no load
 * for a moment, so only requests that wait nevertheless get their adapter. */
async function startLoads(engines: number, othersLoad: boolean) {
  const asked: (readonly [string, boolean])[] = [];
  const handlers = Array.from({ length: engines }, () => answer);
  const port = await startRelay(handlers, {
    route: {},
    load: ({ engine }, { patient = false }) => {
      asked.push([engine.key, patient]);
      return Promise.resolve(engine.key === "e0@1" ? patient : othersLoad);
    },
  });
  return { port, asked };
}

// Guards against callers that are refused because the only engine did not reply to
// two calls, while it loads their adapter.
test.each([1, 2])(
  "a request without another engine waits for a silent one's load, of %i",
  async (engines) => {
    const { port } = await startLoads(engines, false);
    expect(await sendRequest(port, { model: "m/a" }))
      .toMatchObject({ status: 200, body: "well" });
  },
);

// Guards against a request that waits for a silent engine while another one could
// load its adapter.
test("another engine loads before a silent one is waited for", async () => {
  const { port, asked } = await startLoads(2, true);
  expect(await sendRequest(port, { model: "m/a" }))
    .toMatchObject({ status: 200, body: "well" });
  expect(asked.some(([, isPatient]) => isPatient)).toBe(false);
});

// Guards against a request that asks for a load again and again where it fails.
test("a load that fails is asked for twice at most", async () => {
  let count = 0;
  const port = await startRelay([answer], {
    route: {},
    load: () => {
      count += 1;
      return Promise.resolve(false);
    },
  });
  expect(await sendRequest(port, { model: "m/a" }))
    .toMatchObject({ status: 503 });
  expect(count).toBe(2);
});
