import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { Engine } from "@banyanlb/serving";
import { expect, test } from "vitest";
import { EngineConnections } from "./engine_connections.ts";

const LIMITS = { maxConnections: 10, instances: 1 };
const REQUEST = {
  id: undefined,
  method: "GET",
  path: "/",
  headers: ["Host", "h"],
  body: undefined,
  once: true,
};

async function startEngine(
  handle: Parameters<typeof createServer>[1],
): Promise<{ readonly server: Server; readonly engine: Engine }> {
  const server = createServer(handle);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const engine: Engine = {
    key: "e@1",
    id: "e",
    service: "s",
    host: "127.0.0.1",
    port,
    zone: "z",
    slots: 1,
    leaving: false,
    remainingMs: undefined,
    models: [],
  };
  return { server, engine };
}

function sendAndRead(
  connections: EngineConnections,
  engine: Engine,
  id?: string,
) {
  return new Promise<string>((resolve, reject) => {
    const { req } = connections.send(engine, { ...REQUEST, id }, LIMITS);
    req.on("error", reject);
    req.on("response", (response) => {
      let text = "";
      response.on("data", (chunk: Buffer) => (text += chunk.toString()));
      response.on("error", reject);
      response.on("end", () => resolve(text));
    });
  });
}

test("a request in progress finishes after its engine is retired", async () => {
  const { server, engine } = await startEngine((_, res) => {
    res.write("first ");
    setTimeout(() => res.end("last"), 60);
  });
  const connections = new EngineConnections();
  const body = sendAndRead(connections, engine);
  await new Promise((resolve) => setTimeout(resolve, 20));
  connections.retire(engine.key);
  expect(await body).toBe("first last");
  server.close();
});

test("bytes received on an idle connection close it before its next use", async () => {
  let connectionCount = 0;
  const { server, engine } = await startEngine((_, res) => {
    // The response releases its socket when it ends.
    const { socket } = res;
    res.end("answer");
    setTimeout(() => socket?.write("HTTP/1.1 200 OK\r\n\r\nstray"), 10);
  });
  server.on("connection", () => (connectionCount += 1));
  const connections = new EngineConnections();
  expect(await sendAndRead(connections, engine)).toBe("answer");
  await new Promise((resolve) => setTimeout(resolve, 40));
  expect(await sendAndRead(connections, engine)).toBe("answer");
  expect(connectionCount).toBe(2);
  connections.close();
  server.close();
});

test("an idle connection is reused", async () => {
  let connectionCount = 0;
  const { server, engine } = await startEngine((_, res) => res.end("answer"));
  server.on("connection", () => (connectionCount += 1));
  const connections = new EngineConnections();
  await sendAndRead(connections, engine);
  await new Promise((resolve) => setTimeout(resolve, 10));
  await sendAndRead(connections, engine);
  expect(connectionCount).toBe(1);
  connections.close();
  server.close();
});

// A refusal that comes once more on its connection bears the same id.
test("a request that is sent again takes another idle connection", async () => {
  const ports: (number | undefined)[] = [];
  const { server, engine } = await startEngine((req, res) => {
    ports.push(req.socket.remotePort);
    setTimeout(() => res.end("answer"), 20);
  });
  const connections = new EngineConnections();
  const send = (id: string) => sendAndRead(connections, engine, id);
  await Promise.all([send("r1"), send("r2")]);
  const [portOfFirst, portOfSecond] = ports;
  await send("r1");
  expect(ports.at(-1)).toBe(portOfSecond);
  // Both idle connections have carried it now.
  await send("r1");
  expect([portOfFirst, portOfSecond]).not.toContain(ports.at(-1));
  connections.close();
  server.close();
});

test("connections are reused for a shorter time after an engine dropped one", async () => {
  const dropAfterMs = 320;
  let connectionCount = 0;
  const { server, engine } = await startEngine((_, res) => res.end("ok"));
  server.on("connection", (socket) => {
    connectionCount += 1;
    // The engine drops the idle connection without closing it: the next
    // request on it is reset.
    let requests = 0;
    let timer: NodeJS.Timeout | undefined;
    server.on("request", (req) => {
      if (req.socket !== socket) return;
      requests += 1;
      clearTimeout(timer);
      timer = setTimeout(() => {
        socket.removeAllListeners("data");
        socket.on("data", () => socket.resetAndDestroy());
      }, dropAfterMs);
    });
  });
  const waitUntilDropped = () =>
    new Promise((resolve) => setTimeout(resolve, dropAfterMs + 80));
  const connections = new EngineConnections();
  expect(await sendAndRead(connections, engine)).toBe("ok");
  await waitUntilDropped();
  await expect(sendAndRead(connections, engine)).rejects.toThrow(
    /reset|hang up/i,
  );
  expect(await sendAndRead(connections, engine)).toBe("ok");
  await waitUntilDropped();
  expect(await sendAndRead(connections, engine)).toBe("ok");
  expect(connectionCount).toBe(3);
  connections.close();
  server.close();
});
