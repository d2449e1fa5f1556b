import type { Target } from "@banyanlb/core";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { checkResponse } from "./relay.ts";
import { TargetClient } from "./target_client.ts";

let client: TargetClient;
let server: Server;
let received: string[];

beforeEach(async () => {
  received = [];
  client = new TargetClient("127.0.0.7");
  server = createServer((req, res) => {
    received.push(`${req.socket.remoteAddress} ${req.url}`);
    if (req.url === "/reset") req.socket.destroy();
    else if (req.url === "/crossed") {
      res.setHeader("x-request-id", "another");
      res.write("the first part");
      res.end("the last part");
    } else res.end("done");
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
});

afterEach(async () => {
  await client.close();
  server.closeAllConnections();
  server.close();
});

function createTarget(port: number): Target {
  return {
    kind: "target",
    name: "t",
    type: "service",
    url: `http://127.0.0.1:${port}`,
    pool: "p",
    region: "r",
    failure_domain: "d",
  };
}

function serverPort(): number {
  return (server.address() as AddressInfo).port;
}

function createCall(path: string, checkBeforeSend: () => void = () => {}) {
  const signal = AbortSignal.timeout(5_000);
  const headers = {};
  const body = undefined;
  return { method: "POST", path, headers, body, signal, checkBeforeSend };
}

test("nothing is sent if a right expires while the connection opens", async () => {
  const target = createTarget(serverPort());
  const call = createCall("/a", () => {
    throw new Error("lapsed");
  });
  await expect(client.send(target, call)).rejects.toThrow("lapsed");
  const next = await client.send(target, createCall("/b"));
  expect(next.isOk()).toBe(true);
  expect(received).toEqual(["127.0.0.7 /b"]);
});

test("a request on a refused connection has not run", async () => {
  const port = serverPort();
  await new Promise((resolve) => server.close(resolve));
  const result = await client.send(createTarget(port), createCall("/a"));
  expect(result._unsafeUnwrapErr().may_have_run).toBe(false);
});

test("a request may have run after a reset, and is not retried", async () => {
  const result = await client.send(
    createTarget(serverPort()),
    createCall("/reset"),
  );
  expect(result._unsafeUnwrapErr().may_have_run).toBe(true);
  expect(received).toEqual(["127.0.0.7 /reset"]);
});

test("a response to another request is dropped without an uncaught error", async () => {
  const uncaught: unknown[] = [];
  const recordUncaught = (err: unknown) => uncaught.push(err);
  process.on("uncaughtException", recordUncaught);
  const result = await client.send(
    createTarget(serverPort()),
    createCall("/crossed"),
  );
  const response = result._unsafeUnwrap();
  expect(() => checkResponse(response, "mine")).toThrow(/another request/);
  await new Promise((resolve) => setTimeout(resolve, 50));
  process.off("uncaughtException", recordUncaught);
  expect(uncaught).toEqual([]);
});

// Guards against a status that no answer has and that callers would get.
test("a response with status 999 is no answer", async () => {
  server.removeAllListeners("request");
  server.on("request", (req) => {
    req.socket.end("HTTP/1.1 999 x\r\nContent-Length: 1\r\n\r\na");
  });
  const result = await client.send(
    createTarget(serverPort()),
    createCall("/odd"),
  );
  const response = result._unsafeUnwrap();
  expect(() => checkResponse(response, "mine")).toThrow(/no answer/);
});
