import { connect, createServer } from "node:net";
import { memberOf } from "@banyanlb/serving/testing";
import { expect, onTestFinished, test, vi } from "vitest";
import { PeerLinks } from "./peer_links.ts";
import type { PeerMessage } from "./peer_messages.ts";
import { findFreePort } from "./testing/free_port.ts";

async function startLinks() {
  const port = await findFreePort();
  const member = memberOf("a", {
    peerAddress: `127.0.0.1:${port}`,
    callerAddress: "127.0.0.1:1",
  });
  const received: PeerMessage[] = [];
  const invalid: string[] = [];
  const senders: [type: PeerMessage["t"], sender: string][] = [];
  const links = new PeerLinks(member, {
    onMessage: (_, message, sendReply) => {
      received.push(message);
      if (message.t === "load") {
        const { n } = message;
        setTimeout(() => sendReply({ t: "loaded", n, ok: true }), 1500);
      }
      if (message.t === "confirm") {
        sendReply({ t: "confirmed", n: message.n, kinds: [] });
      }
    },
    onInvalidMessage: (reason) => void invalid.push(reason),
    onReceived: (type, _, sender) => void senders.push([type, sender]),
  });
  await links.listen({ host: "127.0.0.1", port });
  onTestFinished(() => links.close());
  return { links, port, member, received, invalid, senders };
}

const CONFIRM: PeerMessage = { t: "confirm", n: 1 };

// Node throws at once for such a port. The error ended the round of messages to
// all peers, or the start of the process.
test.each(["99999999", "65536", "-1", "80.5", "", "x"])(
  "a message to a peer at port %j is not sent and harms no other",
  async (port) => {
    const { links, member, received } = await startLinks();
    expect(links.send(`127.0.0.1:${port}`, CONFIRM)).toBe(false);
    const reply = links.ask(`127.0.0.1:${port}`, (n) => ({
      t: "confirm",
      n,
    }), 5000);
    expect(await reply).toBeUndefined();
    expect(links.send(member.peerAddress, CONFIRM)).toBe(true);
    await vi.waitFor(() => expect(received).toContainEqual(CONFIRM));
  },
);

// A peer that cannot be reached became a member.
test.each([
  ["no member", undefined],
  ["text", "a"],
  ["a peer port of 99999999", { peerAddress: "127.0.0.1:99999999" }],
  ["no caller address", { callerAddress: 7 }],
  ["a name that is a number", { name: 7 }],
])("a hello with %s introduces nobody", async (_, change) => {
  const { port, member, received, invalid } = await startLinks();
  const odd = typeof change === "object" ? { ...member, ...change } : change;
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => undefined);
  const closed = new Promise((resolve) => socket.once("close", resolve));
  socket.write(`${JSON.stringify({ t: "hello", member: odd })}\n`);
  socket.write(`${JSON.stringify(CONFIRM)}\n`);
  await closed;
  expect(received).toEqual([]);
  expect(invalid).toHaveLength(1);
});

// JSON.parse reads any depth.
test("a message that is nested deeply closes only its connection", async () => {
  const { links, port, member, received } = await startLinks();
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => undefined);
  const closed = new Promise((resolve) => socket.once("close", resolve));
  // A longer one would be too large for a first message, and not be parsed.
  socket.write(`${"[".repeat(30_000)}${"]".repeat(30_000)}\n`);
  await closed;
  links.send(member.peerAddress, CONFIRM);
  await vi.waitFor(() => expect(received).toContainEqual(CONFIRM));
});

// What a peer costs is counted by its region, which replies do not name.
test("each message is counted under its sender's name or address", async () => {
  const { links, member, senders } = await startLinks();
  const reply = links.ask(
    member.peerAddress,
    (n) => ({ t: "confirm", n }),
    200,
  );
  await vi.waitFor(() => expect(senders).toContainEqual(["confirm", "a"]));
  await reply;
  expect(senders).toContainEqual(["confirmed", member.peerAddress]);
});

// The end of the old connection used to fail what had been asked on the new one.
test("a question after a quiet time is answered on a new connection", async () => {
  const { links, member } = await startLinks();
  const ask = () =>
    links.ask(member.peerAddress, (n) => ({ t: "confirm", n }), 500);
  expect(await ask()).toMatchObject({ t: "confirmed" });
  const clock = vi.spyOn(performance, "now");
  onTestFinished(() => clock.mockRestore());
  const later = performance.now() + 1200;
  clock.mockReturnValue(later);
  expect(await ask()).toMatchObject({ t: "confirmed" });
});

// A load takes longer than the time after which a quiet connection is replaced.
test("a question that waits for its reply survives a later one", async () => {
  const { links, member } = await startLinks();
  const ask = (message: (n: number) => PeerMessage) =>
    links.ask(member.peerAddress, message, 2500);
  const slow = ask((n) => ({
    t: "load",
    n,
    engine: "e",
    model: "m",
    adapter: "a",
    version: 1,
  }));
  await new Promise((resolve) => setTimeout(resolve, 1200));
  expect(await ask((n) => ({ t: "confirm", n }))).toMatchObject({
    t: "confirmed",
  });
  expect(await slow).toMatchObject({ t: "loaded", ok: true });
});

test("a connection that ends fails what waits on it", async () => {
  const port = await findFreePort();
  const server = createServer((socket) => {
    socket.once("data", () => socket.destroy());
  });
  await new Promise<void>((resolve) => server.listen(port, resolve));
  onTestFinished(() => void server.close());
  const { links } = await startLinks();
  const askedAt = performance.now();
  const reply = links.ask(`127.0.0.1:${port}`, (n) => ({
    t: "confirm",
    n,
  }), 5000);
  expect(await reply).toBeUndefined();
  expect(performance.now() - askedAt).toBeLessThan(2500);
});
