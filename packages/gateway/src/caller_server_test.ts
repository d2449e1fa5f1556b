import { connect } from "node:net";
import { expect, onTestFinished, test, vi } from "vitest";
import { CallerServer, type RequestHandler } from "./caller_server.ts";
import { findFreePort } from "./testing/free_port.ts";

const LIMITS = {
  headerTimeoutMs: 300,
  idleTimeoutMs: 1000,
  maxHeaderBytes: 4096,
  maxBodyBytes: 1000,
};

async function startServer(handle: RequestHandler = (_, res) => res.end("ok")) {
  const port = await findFreePort();
  const server = new CallerServer(handle);
  await server.listen({ host: "127.0.0.1", port });
  onTestFinished(() => server.close());
  return { server, port };
}

/** Sends text, and resolves to all that was received until the connection was
 * closed. */
function send(port: number, text: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1", () => socket.write(text));
    let received = "";
    socket.on("data", (chunk) => (received += chunk.toString()));
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(received));
  });
}

const requestOf = (headerBytes: number) =>
  `GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX: ${
    "x".repeat(headerBytes)
  }\r\n\r\n`;

// FAULT: heads of 64 KiB on each of some thousand connections came close to the
// memory of a process, whatever the configuration said.
test("the configured limit of heads holds for new connections", async () => {
  const { server, port } = await startServer();
  expect(await send(port, requestOf(20_000))).toMatch(/^HTTP\/1.1 200 /);
  server.setLimits(LIMITS);
  expect(await send(port, requestOf(3000))).toMatch(/^HTTP\/1.1 200 /);
  expect(await send(port, requestOf(20_000))).toMatch(/^HTTP\/1.1 431 /);
});

test("a head that does not end is given up with 408", async () => {
  const { server, port } = await startServer();
  server.setLimits(LIMITS);
  expect(await send(port, "GET / HTTP/1.1\r\nHost: ")).toMatch(
    /^HTTP\/1.1 408 /,
  );
});

// A caller would take it for the answer to its first request.
test("a connection on which nothing was sent is closed without a response", async () => {
  const { server, port } = await startServer();
  server.setLimits(LIMITS);
  expect(await send(port, "")).toBe("");
});

// The refusal came before the answer to the request and in its place.
test("bytes after a request that is being served bring no second response", async () => {
  const { port } = await startServer((_, res) => {
    setTimeout(() => res.end("ok"), 100);
  });
  const text = "GET / HTTP/1.1\r\nHost: h\r\n\r\nno request\r\n\r\n";
  expect(await send(port, text)).toMatch(/^HTTP\/1.1 200 [^]*\r\n\r\nok$/);
});

// LOST: connections were closed with requests on them.
test("once its intake is closed a server answers what it has read in part, and nothing else", async () => {
  const { server, port } = await startServer();
  const head = "GET / HTTP/1.1\r\nHost: h\r\n";
  let finish = () => {};
  const half = new Promise<string>((resolve) => {
    const socket = connect(port, "127.0.0.1", () => socket.write(head));
    let received = "";
    finish = () => void socket.write("\r\n");
    socket.on("data", (chunk) => (received += chunk.toString()));
    socket.on("close", () => resolve(received));
  });
  const kept = send(port, `${head}\r\n`);
  const silent = send(port, "");
  await vi.waitFor(() => expect(server.connections).toBe(3));
  await new Promise((resolve) => setTimeout(resolve, 50));
  server.closeIntake();
  expect(await kept).toMatch(/^HTTP\/1.1 200 [^]*\r\n\r\nok$/);
  expect(await silent).toBe("");
  await vi.waitFor(() => expect(server.connections).toBe(1));
  expect(await send(port, `${head}\r\n`)).toBe("");
  finish();
  expect(await half).toMatch(/^HTTP\/1.1 200 [^]*connection: close/i);
  await vi.waitFor(() => expect(server.connections).toBe(0));
});
