import { Worker } from "node:worker_threads";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import {
  addCleanup,
  cleanUp,
  SEALED_HEADERS,
  sendRequest,
  startRelay,
} from "./testing/start_relay.ts";

afterEach(cleanUp);

const EVENTS = 30;

/** Two engines in a thread of their own, so that they go on while this one stands
 * still. The first sends an event each 100 ms; the second answers its first
 * request only. */
const ENGINES = `
  const { createServer } = require("node:http");
  const { parentPort } = require("node:worker_threads");
  const head = ${
  JSON.stringify({ ...SEALED_HEADERS, "content-type": "text/event-stream" })
};
  const steady = createServer((_, res) => {
    res.writeHead(200, head);
    let i = 0;
    const timer = setInterval(() => {
      i += 1;
      res.write("id: " + i + "\\ndata: x\\n\\n");
      if (i < ${EVENTS}) return;
      clearInterval(timer);
      res.end();
    }, 100);
  });
  let requests = 0;
  const hanging = createServer((_, res) => {
    requests += 1;
    if (requests > 1) return;
    res.writeHead(200, head);
    res.end("id: 1\\ndata: x\\n\\n");
  });
  steady.listen(0, "127.0.0.1", () => hanging.listen(0, "127.0.0.1", () =>
    parentPort.postMessage([steady.address().port, hanging.address().port])));
`;

// Guards against answers that are given up because this process stood still: what
// had arrived meanwhile counted as silence, since timers fire first.
test(
  "an answer is not given up for the time in which it was not read",
  async () => {
    const worker = new Worker(ENGINES, { eval: true });
    addCleanup(() => void worker.terminate());
    const ports = await new Promise<readonly number[]>((resolve) =>
      worker.once("message", resolve)
    );
    const port = await startRelay(ports, {
      route: {
        kind: "stream",
        resumable: true,
        timeoutMs: 8000,
        targetLatencyMs: 600,
        maxAttempts: 3,
      },
    });
    const answer = sendRequest(port, { deadline: "6000" });
    await pause(150);
    // Leaves a kept connection to the second engine.
    await sendRequest(port, { deadline: "6000" });
    await pause(500);
    setImmediate(() =>
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 1600)
    );
    const { body, isComplete } = await answer;
    expect(isComplete).toBe(true);
    expect(body.match(/^id/gm)).toHaveLength(EVENTS);
  },
  15_000,
);
