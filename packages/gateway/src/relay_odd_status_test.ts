import { RESPONSE_HEADERS } from "@banyanlb/platform";
import { type AddressInfo, createServer } from "node:net";
import { afterEach, describe, expect, test } from "vitest";
import {
  addCleanup,
  cleanUp,
  sendRequest,
  startRelay,
} from "./testing/start_relay.ts";

afterEach(cleanUp);

const SEALED = `${RESPONSE_HEADERS.id}: r1\r\n${RESPONSE_HEADERS.seal}: s\r\n`;
const BODY = "id: 1\ndata: a\n\n";
const END = "id: 2\ndata: b\n\n";

/** Statuses that parsers let pass and that no answer has. */
const ODD_STATUSES = ["000", "099", "101", "600", "999"];

/** An engine whose connections end after what `answers` has for each request; the
 * last one repeats. */
async function startEngine(...answers: readonly string[]): Promise<number> {
  let requestCount = 0;
  const server = createServer((socket) => {
    // The gateway may reset the connection.
    socket.on("error", () => undefined);
    socket.on("data", () => {
      const place = Math.min(requestCount, answers.length - 1);
      requestCount += 1;
      socket.end(answers[place] ?? "");
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  addCleanup(() => server.close());
  return (server.address() as AddressInfo).port;
}

function answer(status: string, body: string, missingBytes = 0): string {
  const length = Buffer.byteLength(body) + missingBytes;
  return `HTTP/1.1 ${status} x\r\n${SEALED}Content-Type: text/event-stream\r\n` +
    `Content-Length: ${length}\r\n\r\n${body}`;
}

// Guards against responses whose status is none: they were judged as refusals below
// 500, counted as answers for the engine's health, and left callers without one.
describe.each(ODD_STATUSES)("status %s", (status) => {
  test.each(["safe", "stream"] as const)(
    "is no answer to a %s request, which goes to another engine",
    async (kind) => {
      const odd = await startEngine(answer(status, BODY));
      const sound = await startEngine(answer("200", BODY));
      for (const engines of [[odd, sound], [sound, odd]]) {
        const port = await startRelay(engines, {
          route: { kind, resumable: true, maxAttempts: 3 },
        });
        const response = await sendRequest(port);
        expect(response).toMatchObject({ status: 200, body: BODY });
      }
    },
  );

  test("is a failure of an unsafe request, which may have run", async () => {
    const odd = await startEngine(answer(status, BODY));
    const port = await startRelay([odd], { route: { kind: "unsafe" } });
    const startedAt = performance.now();
    expect((await sendRequest(port)).status).toBe(502);
    expect(performance.now() - startedAt).toBeLessThan(1000);
  });

  test("does not go on with a stream that broke off", async () => {
    const engine = await startEngine(
      answer("200", BODY, 40),
      answer(status, END),
      answer("200", END),
    );
    const port = await startRelay([engine, engine, engine], {
      route: { kind: "stream", resumable: true, maxAttempts: 3 },
    });
    expect(await sendRequest(port)).toMatchObject({
      status: 200,
      body: BODY + END,
      isComplete: true,
    });
  });
});
