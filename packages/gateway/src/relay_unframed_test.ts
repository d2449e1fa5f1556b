import { RESPONSE_HEADERS } from "@banyanlb/platform";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { afterEach, describe, expect, test } from "vitest";
import {
  addCleanup,
  cleanUp,
  sendRequest,
  startRelay,
} from "./testing/start_relay.ts";

afterEach(cleanUp);

const HEAD = "HTTP/1.1 200 OK\r\n" +
  `${RESPONSE_HEADERS.id}: r1\r\n${RESPONSE_HEADERS.seal}: s\r\n\r\n`;
const FIRST_EVENT = "id: 1\ndata: a\n\n";
const SECOND_EVENT = "id: 2\ndata: b\n\n";

/** Starts an engine that answers each request with bytes of its own, without a
 * length, and then ends the connection. Returns its port, and the requests that
 * it received. */
async function startEngine(
  bodyOf: (request: string) => string,
  end: (socket: Socket) => void = (socket) => socket.end(),
) {
  const requests: string[] = [];
  const server = createServer((socket) => {
    // The gateway may reset the connection.
    socket.on("error", () => undefined);
    socket.once("data", (bytes: Buffer) => {
      const request = bytes.toString();
      requests.push(request);
      socket.write(HEAD + bodyOf(request), () => setTimeout(end, 20, socket));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  addCleanup(() => server.close());
  return { port: (server.address() as AddressInfo).port, requests };
}

describe("a response without a length that ends with its connection", () => {
  test.each(["safe", "unsafe"] as const)(
    "is complete on a route of kind %s",
    async (kind) => {
      const { port } = await startEngine(() => "well");
      const relay = await startRelay([port], { route: { kind } });
      expect(await sendRequest(relay)).toEqual({
        status: 200,
        body: "well",
        isComplete: true,
      });
    },
  );

  test.each([true, false])(
    "is complete if it is a stream of whole events, resumable %s",
    async (resumable) => {
      const { port, requests } = await startEngine(() =>
        FIRST_EVENT + SECOND_EVENT
      );
      const relay = await startRelay([port, port], {
        route: { kind: "stream", resumable },
      });
      expect(await sendRequest(relay)).toEqual({
        status: 200,
        body: FIRST_EVENT + SECOND_EVENT,
        isComplete: true,
      });
      expect(requests.length).toBe(1);
    },
  );

  test.each([true, false])(
    "is incomplete if it is a stream that was reset, resumable %s",
    async (resumable) => {
      const { port } = await startEngine(
        () => FIRST_EVENT,
        (socket) => socket.resetAndDestroy(),
      );
      const relay = await startRelay([port], {
        route: { kind: "stream", resumable, maxAttempts: 1 },
      });
      expect((await sendRequest(relay)).isComplete).toBe(false);
    },
  );
});

describe("a stream that ends inside an event", () => {
  const cutBody = `${FIRST_EVENT}id: 2\nda`;

  test("is continued at another engine if it is resumable", async () => {
    const { port, requests } = await startEngine((request) =>
      /last-event-id: 1/i.test(request) ? SECOND_EVENT : cutBody
    );
    const relay = await startRelay([port, port], {
      route: { kind: "stream", resumable: true },
    });
    expect(await sendRequest(relay)).toEqual({
      status: 200,
      body: FIRST_EVENT + SECOND_EVENT,
      isComplete: true,
    });
    expect(requests.length).toBe(2);
  });

  test("is not passed on as complete if it can't be continued", async () => {
    const { port } = await startEngine((request) =>
      /last-event-id: 1/i.test(request) ? "id: 2\nda" : cutBody
    );
    const relay = await startRelay([port, port], {
      route: { kind: "stream", resumable: true, maxAttempts: 2 },
    });
    const response = await sendRequest(relay);
    expect(response.isComplete).toBe(false);
    expect(response.body).toBe(FIRST_EVENT);
  });

  // The end of its connection looked like the end of the stream.
  test("is not passed on as complete if it is not resumable", async () => {
    const { port, requests } = await startEngine(() => cutBody);
    const relay = await startRelay([port, port], {
      route: { kind: "stream", resumable: false },
    });
    const response = await sendRequest(relay);
    expect(response.isComplete).toBe(false);
    expect(response.body.startsWith(FIRST_EVENT)).toBe(true);
    expect(requests.length).toBe(1);
  });
});
