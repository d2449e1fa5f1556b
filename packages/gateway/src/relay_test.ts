import {
  createServer,
  type IncomingMessage,
  request,
  type RequestListener,
  type Server,
} from "node:http";
import type { AddressInfo } from "node:net";
import { EventLog } from "@banyanlb/core";
import { PlatformCallerProtocol, RESPONSE_HEADERS } from "@banyanlb/platform";
import {
  type Engine,
  EngineChooser,
  EngineTable,
  MemberTable,
  RetryBudget,
  type Route,
  RouteTable,
} from "@banyanlb/serving";
import pino from "pino";
import { afterEach, expect, test } from "vitest";
import type { AdapterLoader } from "./adapter_loader.ts";
import { EngineConnections } from "./engine_connections.ts";
import { GatewayMetrics } from "./metrics.ts";
import { Relay } from "./relay.ts";
import { UseCounts } from "./use_counts.ts";

const SEALED = { [RESPONSE_HEADERS.id]: "r1", [RESPONSE_HEADERS.seal]: "s" };
const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

async function listen(handle: RequestListener): Promise<Server> {
  const server = createServer(handle);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  closers.push(() => {
    server.closeAllConnections();
    server.close();
  });
  return server;
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

/** A relay before engines that answer as `handles` say, one engine each. */
async function startRelay(
  handles: readonly RequestListener[],
  options: {
    readonly route: Partial<Route>;
    readonly adapters?: readonly string[];
    readonly load?: () => Promise<boolean>;
  },
): Promise<number> {
  const engines: Engine[] = [];
  for (const [i, handle] of handles.entries()) {
    engines.push({
      key: `e${i}@1`,
      id: `e${i}`,
      service: "svc",
      host: "127.0.0.1",
      port: portOf(await listen(handle)),
      zone: "z",
      slots: 8,
      leaving: false,
      remainingMs: undefined,
      models: [{
        name: "m",
        adapters: (options.adapters ?? []).map((name) => ({
          name,
          version: 1,
        })),
      }],
    });
  }
  const table = new RouteTable({
    version: 1,
    routes: [{
      name: "route",
      host: "h",
      pathPrefix: "/",
      kind: "safe",
      timeoutMs: 2000,
      targetLatencyMs: 100,
      priority: 0,
      services: [{ service: "svc", weight: 1 }],
      maxAttempts: 2,
      isPublic: true,
      resumable: false,
      ...options.route,
    }],
    services: [],
    workspaces: [],
    limits: { headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1000 },
  });
  const board = new EngineTable();
  board.setEngines(engines);
  const connections = new EngineConnections();
  closers.push(() => connections.close());
  const allowance = new RetryBudget({
    ratio: 1,
    windowMs: 10_000,
    fixedRetries: 50,
  });
  const relay = new Relay({
    protocol: new PlatformCallerProtocol(),
    table: () => table,
    chooser: new EngineChooser(board),
    loader: {
      load: options.load ?? (() => Promise.resolve(false)),
    } as unknown as AdapterLoader,
    connections,
    members: new MemberTable("self", -10_000),
    rateOf: () => undefined,
    allowanceOf: () => allowance,
    versionOf: () => 0,
    isOlderAllowed: () => true,
    around: (now) => ({
      zone: "z",
      regionOf: () => "r",
      canOrder: () => true,
      now,
    }),
    use: new UseCounts(),
    hasTimeFor: () => true,
    log: new EventLog(pino({ level: "silent" })),
    metrics: new GatewayMetrics(),
  });
  return portOf(await listen((req, res) => void relay.serve(req, res)));
}

interface Answer {
  readonly status: number;
  readonly body: string;
  readonly whole: boolean;
}

function call(
  port: number,
  headers: Record<string, string> = {},
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const req = request({
      host: "127.0.0.1",
      port,
      path: "/x",
      agent: false,
      headers: { host: "h", "request-id": "r1", deadline: "2000", ...headers },
    });
    req.on("error", reject);
    req.on("response", (answer: IncomingMessage) => {
      let body = "";
      const status = answer.statusCode ?? 0;
      answer.on("data", (chunk: Buffer) => (body += chunk.toString()));
      answer.on("error", () => resolve({ status, body, whole: false }));
      answer.on("end", () => resolve({ status, body, whole: true }));
    });
    req.end();
  });
}

const answerWell: RequestListener = (_, res) => {
  res.writeHead(200, SEALED);
  res.end("well");
};

test("a call that must not be repeated: a lost answer is 502, sent once", async () => {
  let runs = 0;
  const lose: RequestListener = (req) => {
    runs += 1;
    req.socket.destroy();
  };
  const port = await startRelay([lose, lose], {
    route: { kind: "unsafe", maxAttempts: 2 },
  });
  expect((await call(port)).status).toBe(502);
  expect(runs).toBe(1);
});

test("a call that the engine did not run is 503, or runs elsewhere", async () => {
  const shed: RequestListener = (_, res) => {
    res.writeHead(503, {
      [RESPONSE_HEADERS.id]: "r1",
      [RESPONSE_HEADERS.notRun]: "1",
    });
    res.end();
  };
  const alone = await startRelay([shed], { route: { kind: "unsafe" } });
  expect((await call(alone)).status).toBe(503);
  const port = await startRelay([shed, answerWell], {
    route: { kind: "unsafe" },
  });
  expect(await call(port)).toMatchObject({ status: 200, body: "well" });
});

test("grey engine: a safe request that fails is answered by another", async () => {
  const fail: RequestListener = (_, res) => {
    res.writeHead(500, SEALED);
    res.end("bad");
  };
  const port = await startRelay([fail, answerWell], { route: {} });
  for (let i = 0; i < 4; i += 1) {
    expect(await call(port)).toMatchObject({ status: 200, body: "well" });
  }
  const both = await startRelay([fail, fail], { route: {} });
  expect(await call(both)).toMatchObject({ status: 500, body: "bad" });
});

test("an answer of another request, or without a seal, is not passed on", async () => {
  const other: RequestListener = (_, res) => {
    res.writeHead(200, { ...SEALED, [RESPONSE_HEADERS.id]: "r2" });
    res.end("other");
  };
  const unsealed: RequestListener = (_, res) => {
    res.writeHead(200, { [RESPONSE_HEADERS.id]: "r1" });
    res.end("unsealed");
  };
  for (const handle of [other, unsealed]) {
    const port = await startRelay([handle], { route: { kind: "unsafe" } });
    expect((await call(port)).status).toBe(502);
  }
});

test("a broken stream goes on elsewhere after its last whole event", async () => {
  const seen: (string | undefined)[] = [];
  const breakOff: RequestListener = (req, res) => {
    seen.push(req.headers["last-event-id"] as string | undefined);
    res.writeHead(200, SEALED);
    if (req.headers["last-event-id"] === undefined) {
      res.write("id: 1\ndata: a\n\nid: 2\nda");
      setTimeout(() => req.socket.destroy(), 20);
    } else res.end("id: 2\ndata: b\n\n");
  };
  const port = await startRelay([breakOff, breakOff], {
    route: { kind: "stream", resumable: true },
  });
  const answer = await call(port);
  expect(answer.body).toBe("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  expect(answer.whole).toBe(true);
  expect(seen).toEqual([undefined, "1"]);
});

test("a broken stream that must not be repeated looks broken", async () => {
  const breakOff: RequestListener = (req, res) => {
    res.writeHead(200, SEALED);
    res.write("id: 1\ndata: a\n\n");
    setTimeout(() => req.socket.destroy(), 20);
  };
  const port = await startRelay([breakOff, answerWell], {
    route: { kind: "stream", resumable: false },
  });
  expect((await call(port)).whole).toBe(false);
});

test("a caller that leaves while its adapter is loaded: nothing is sent", async () => {
  let runs = 0;
  let loaded: (ok: boolean) => void = () => undefined;
  const port = await startRelay([(_, res) => {
    runs += 1;
    res.end();
  }], {
    route: { kind: "stream" },
    load: () =>
      new Promise((resolve) => {
        loaded = resolve;
      }),
  });
  const req = request({
    host: "127.0.0.1",
    port,
    agent: false,
    headers: { host: "h", "request-id": "r1", model: "m/a1" },
  });
  // The test ends the request itself.
  req.on("error", () => undefined);
  req.end();
  await new Promise((resolve) => setTimeout(resolve, 50));
  req.destroy();
  await new Promise((resolve) => setTimeout(resolve, 50));
  loaded(true);
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(runs).toBe(0);
});

test("a caller that leaves ends the engine's work", async () => {
  let closed = false;
  const port = await startRelay([(_, res) => {
    res.on("close", () => (closed = true));
    res.writeHead(200, SEALED);
    res.write("id: 1\n\n");
  }], { route: { kind: "stream" } });
  const req = request({
    host: "127.0.0.1",
    port,
    agent: false,
    headers: { host: "h", "request-id": "r1" },
  });
  // The test ends the request itself.
  req.on("error", () => undefined);
  req.on("response", (answer) => answer.once("data", () => req.destroy()));
  req.end();
  await new Promise((resolve) => setTimeout(resolve, 200));
  expect(closed).toBe(true);
});
