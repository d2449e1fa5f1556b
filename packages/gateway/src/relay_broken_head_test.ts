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
  `${RESPONSE_HEADERS.id}: r1\r\n${RESPONSE_HEADERS.seal}: s\r\n` +
  "Content-Type: text/event-stream\r\nContent-Length: 4\r\n\r\n";

/** Heads that end in each place where a parser could take them for whole. */
const BROKEN_HEADS: readonly (readonly [string, string])[] = [
  ["the status line", HEAD.slice(0, HEAD.indexOf("\r\n"))],
  ["the end of the status line", HEAD.slice(0, HEAD.indexOf("\r\n") + 2)],
  ["a name", HEAD.slice(0, HEAD.indexOf(RESPONSE_HEADERS.seal) + 3)],
  ["a value", HEAD.slice(0, -6)],
  ["the last header", HEAD.slice(0, -4)],
  ["the line of the last header", HEAD.slice(0, -2)],
  ["the empty line", HEAD.slice(0, -1)],
];

const ENDS: readonly (readonly [string, (socket: Socket) => void])[] = [
  ["closes", (socket) => socket.end()],
  ["resets", (socket) => socket.resetAndDestroy()],
];

/** Starts an engine that sends bytes and ends its connection; returns its port
 * and how many requests it has received. */
async function startEngine(bytes: string, end: (socket: Socket) => void) {
  let count = 0;
  const server = createServer((socket) => {
    // The gateway may reset the connection.
    socket.on("error", () => undefined);
    socket.once("data", () => {
      count += 1;
      socket.write(bytes, () => setTimeout(end, 20, socket));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  addCleanup(() => server.close());
  return { port: (server.address() as AddressInfo).port, count: () => count };
}

// Guards against an answer whose head broke off and that callers receive as a
// success with an empty or short body, framed as whole.
describe.each(ENDS)("an engine that %s", (_, end) => {
  test.each(BROKEN_HEADS)("within %s is no success", async (_, bytes) => {
    for (const kind of ["unsafe", "safe", "stream"] as const) {
      const { port, count } = await startEngine(bytes, end);
      const relay = await startRelay([port], { route: { kind } });
      const { status } = await sendRequest(relay);
      expect(status).toBe(502);
      // A request that may have run is repeated only where that is allowed.
      expect(count()).toBe(1);
    }
  });
});
