import { RESPONSE_HEADERS } from "@banyanlb/platform";
import { type AddressInfo, connect, createServer } from "node:net";
import { afterEach, describe, expect, test } from "vitest";
import {
  addCleanup,
  cleanUp,
  sendRequest,
  startRelay,
} from "./testing/start_relay.ts";

afterEach(cleanUp);

const ID = `${RESPONSE_HEADERS.id}: r1\r\n`;
const SEALED = `${ID}${RESPONSE_HEADERS.seal}: s\r\n`;
const STREAM = "Content-Type: text/event-stream\r\n";
const BEGINNING = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const END = "id: 3\ndata: c\n\n";
const ERROR_TEXT = "upstream error, try again later";

function chunked(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

/** A whole response with a length. */
function response(status: string, headers: string, body: string): string {
  return `HTTP/1.1 ${status}\r\n${headers}` +
    `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

/** Starts an engine that answers each request as `answer` does and counts its
 * requests. Without an answer, the connection is reset. */
async function startEngine(answer: (request: string) => string | undefined) {
  const requests: string[] = [];
  const server = createServer((socket) => {
    // The gateway may reset the connection.
    socket.on("error", () => undefined);
    socket.on("data", (bytes: Buffer) => {
      const request = bytes.toString();
      requests.push(request);
      const bytesBack = answer(request);
      if (bytesBack !== undefined) {
        socket.write(bytesBack);
        if (/^connection: close/im.test(bytesBack)) socket.end();
        return;
      }
      const head =
        `HTTP/1.1 200 OK\r\n${SEALED}${STREAM}Transfer-Encoding: chunked\r\n`;
      socket.write(
        `${head}\r\n${chunked(`${BEGINNING}id: 3\nda`)}`,
        () => setTimeout(() => socket.resetAndDestroy(), 20),
      );
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  addCleanup(() => server.close());
  return { port: (server.address() as AddressInfo).port, requests };
}

/** Starts two engines: the first request, at either, begins a stream and breaks
 * off; the later ones are answered by `answer`. */
async function startBreaking(answer: string | undefined) {
  let count = 0;
  const respond = () => (count++ === 0 ? undefined : answer);
  return [await startEngine(respond), await startEngine(respond)];
}

/** All bytes that a caller gets, heads included. */
function readRaw(port: number): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1");
    let text = "";
    socket.on("data", (chunk: Buffer) => (text += chunk.toString()));
    // The relay breaks the connection off.
    socket.on("error", () => resolve(text));
    socket.on("close", () => resolve(text));
    socket.write(
      "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline: 2000\r\n\r\n",
    );
  });
}

// The next engine's error must neither reach the caller's stream nor end it.
const ANSWERS: readonly (readonly [string, string])[] = [
  ["an error 500", response("500 Error", SEALED, ERROR_TEXT)],
  [
    "an error 500 that looks like events",
    response("500 Error", SEALED + STREAM, `data: ${ERROR_TEXT}\n\n`),
  ],
  ["an error 404", response("404 Not Found", SEALED, ERROR_TEXT)],
  ["an error 400", response("400 Bad", SEALED, ERROR_TEXT)],
  ["a bare 429", response("429 Many", ID, ERROR_TEXT)],
  ["a redirect", response("302 Found", `${SEALED}Location: /\r\n`, ERROR_TEXT)],
  [
    "a refusal",
    response("503 Busy", `${ID}${RESPONSE_HEADERS.notRun}: 1\r\n`, ERROR_TEXT),
  ],
  [
    "an error that ends with its connection",
    `HTTP/1.1 500 Error\r\n${SEALED}Connection: close\r\n\r\n${ERROR_TEXT}`,
  ],
  ["an unsealed success", response("200 OK", ID + STREAM, END)],
  [
    "a success of another type",
    response(
      "200 OK",
      `${SEALED}Content-Type: application/json\r\n`,
      `{"error":"${ERROR_TEXT}"}`,
    ),
  ],
  [
    "a success of another type with a blank line",
    response(
      "200 OK",
      `${SEALED}Content-Type: text/plain\r\n`,
      `${ERROR_TEXT}\n\n`,
    ),
  ],
  ["a success without a type", response("200 OK", SEALED, `${ERROR_TEXT}\n\n`)],
  ["a part of a body", response("206 Partial", SEALED + STREAM, END)],
  ["a success without a body", `HTTP/1.1 204 No Content\r\n${SEALED}\r\n`],
  ["an empty success", response("200 OK", SEALED + STREAM, "")],
  [
    "an error as an event",
    response("200 OK", SEALED + STREAM, `data: ${ERROR_TEXT}\n\n`),
  ],
  ["a comment", response("200 OK", SEALED + STREAM, `: ${ERROR_TEXT}\n\n`)],
  ["bytes that are no answer", `${ERROR_TEXT}\r\n\r\n`],
];

describe("a stream that broke off, continued by an engine that answers", () => {
  test.each(ANSWERS)("%s breaks off visibly", async (_, answer) => {
    const engines = await startBreaking(answer);
    const port = await startRelay(engines.map((e) => e.port), {
      route: {
        kind: "stream",
        resumable: true,
        maxAttempts: 2,
        timeoutMs: 9000,
      },
    });
    const startedAt = performance.now();
    const received = await sendRequest(port, { deadline: "9000" });
    // At once, not at the deadline.
    expect(performance.now() - startedAt).toBeLessThan(5000);
    expect(received).toMatchObject({ status: 200, isComplete: false });
    expect(received.body).toBe(BEGINNING);
    const requests = engines.flatMap((e) => e.requests);
    expect(requests.length).toBeGreaterThan(1);
    expect(requests.at(-1)).toMatch(/last-event-id: 2/i);
  });

  test.each(ANSWERS)("%s brings no second head", async (_, answer) => {
    const engines = await startBreaking(answer);
    const port = await startRelay(engines.map((e) => e.port), {
      route: { kind: "stream", resumable: true, maxAttempts: 2 },
    });
    const received = await readRaw(port);
    expect(received.match(/HTTP\/1\.1/g)).toHaveLength(1);
    expect(received).not.toContain(ERROR_TEXT);
    expect(received).not.toContain("0\r\n\r\n");
  });
});

test.each(ANSWERS)(
  "a broken stream that is not resumable meets no engine that answers %s",
  async (_, answer) => {
    const engines = await startBreaking(answer);
    const port = await startRelay(engines.map((e) => e.port), {
      route: { kind: "stream", resumable: false, maxAttempts: 2 },
    });
    const received = await readRaw(port);
    expect(received.match(/HTTP\/1\.1/g)).toHaveLength(1);
    expect(received).not.toContain(ERROR_TEXT);
    expect(received).not.toContain("0\r\n\r\n");
    expect(engines.flatMap((e) => e.requests)).toHaveLength(1);
  },
);

test("a stream whose continuation is sound is complete", async () => {
  const engines = await startBreaking(response("200 OK", SEALED + STREAM, END));
  const port = await startRelay(engines.map((e) => e.port), {
    route: { kind: "stream", resumable: true, maxAttempts: 2 },
  });
  expect(await sendRequest(port)).toMatchObject({
    status: 200,
    body: BEGINNING + END,
    isComplete: true,
  });
});
