import { connect, type Socket } from "node:net";
import { memberOf } from "@banyanlb/serving/testing";
import { expect, onTestFinished, test, vi } from "vitest";
import { PeerLinks, type PeerLinksOptions } from "./peer_links.ts";
import type { PeerMessage } from "./peer_messages.ts";
import { findFreePort } from "./testing/free_port.ts";

const MIB = 1024 * 1024;
const CHUNK = Buffer.alloc(64 * 1024, "x");
const CONFIRM: PeerMessage = { t: "confirm", n: 1 };

/** Bytes that socket buffers hold beyond those that were read. */
const IN_FLIGHT_MAX_BYTES = 16 * MIB;

/** Memory that all incomplete messages may take, with what is being copied. */
const GROWTH_MAX_BYTES = 128 * MIB;

async function startLinks(onMessage?: PeerLinksOptions["onMessage"]) {
  const port = await findFreePort();
  const member = memberOf("a", {
    peerAddress: `127.0.0.1:${port}`,
    callerAddress: "127.0.0.1:1",
  });
  const received: PeerMessage[] = [];
  const invalid: string[] = [];
  const links = new PeerLinks(member, {
    onMessage: onMessage ?? ((_, message) => void received.push(message)),
    onInvalidMessage: (reason) => void invalid.push(reason),
  });
  await links.listen({ host: "127.0.0.1", port });
  onTestFinished(() => links.close());
  const open = (hello?: string) => {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    onTestFinished(() => void socket.destroy());
    if (hello !== undefined) {
      const peer = memberOf(hello, {
        peerAddress: `127.0.0.1:${port}`,
        callerAddress: "127.0.0.1:1",
      });
      socket.write(`${JSON.stringify({ t: "hello", member: peer })}\n`);
    }
    return socket;
  };
  return { links, member, received, invalid, open };
}

/** Sends bytes without a line end; stops after `maxBytes`. */
function sendWithoutEnd(socket: Socket, maxBytes = Infinity) {
  const sent = { bytes: 0 };
  const send = () => {
    while (!socket.destroyed && sent.bytes < maxBytes) {
      sent.bytes += CHUNK.length;
      if (!socket.write(CHUNK)) return;
    }
  };
  socket.on("drain", send);
  send();
  return sent;
}

// FAULT: a few connections that sent one message without end filled the heap,
// and the process was aborted with all requests that it served.
test.each([
  ["nobody", undefined, 0],
  ["a peer", "b", 8 * MIB],
])("endless: a message from %s is given up", async (_, hello, maxBytes) => {
  const { invalid, open } = await startLinks();
  const socket = open(hello);
  const sent = sendWithoutEnd(socket);
  await vi.waitFor(() => expect(socket.destroyed).toBe(true), 5000);
  expect(sent.bytes).toBeLessThan(maxBytes + IN_FLIGHT_MAX_BYTES);
  expect(invalid).toEqual([expect.stringContaining("longer than")]);
});

test("endless: many connections leave memory flat and others heard", async () => {
  const { links, member, received, invalid, open } = await startLinks();
  const rssBytes = process.memoryUsage().rss;
  for (let i = 0; i < 40; i += 1) sendWithoutEnd(open(`p${i}`), 6 * MIB);
  await vi.waitFor(() => expect(invalid.length).toBeGreaterThan(30), 10_000);
  expect(process.memoryUsage().rss - rssBytes).toBeLessThan(GROWTH_MAX_BYTES);
  expect(links.send(member.peerAddress, CONFIRM)).toBe(true);
  await vi.waitFor(() => expect(received).toContainEqual(CONFIRM));
});

test("endless: a peer that asks and does not read is given up", async () => {
  let repliedBytes = 0;
  const text = "x".repeat(MIB);
  const { open } = await startLinks((_, message, sendReply) => {
    if (message.t !== "confirm") return;
    repliedBytes += text.length;
    sendReply({ t: "hello", member: text } as unknown as PeerMessage);
  });
  const socket = open("b");
  socket.pause();
  let asked = 0;
  while (asked < 100 && !socket.destroyed) {
    socket.write(`${JSON.stringify(CONFIRM)}\n`);
    asked += 1;
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  socket.resume();
  await vi.waitFor(() => expect(socket.destroyed).toBe(true), 5000);
  expect(repliedBytes).toBeLessThan(IN_FLIGHT_MAX_BYTES);
});
