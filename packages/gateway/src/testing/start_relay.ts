/** A relay with engines on loopback, and a client for it.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  request,
  type RequestListener,
  type Server,
} from "node:http";
import { type AddressInfo, connect } from "node:net";
import { EventLog } from "@banyanlb/core";
import { PlatformCallerProtocol, RESPONSE_HEADERS } from "@banyanlb/platform";
import {
  BodyRoom,
  DIGEST_TICK_MS,
  type Engine,
  type EngineAddress,
  EngineChooser,
  EngineLimits,
  type EngineProbe,
  type EngineReach,
  EngineTable,
  LoadForecast,
  MemberTable,
  OpenStreams,
  Quarantine,
  RetryBudget,
  type Route,
  RouteTable,
} from "@banyanlb/serving";
import pino from "pino";
import type { AdapterLoader } from "../adapter_loader.ts";
import { AdapterUsageCounts } from "../adapter_usage.ts";
import { EngineConnections } from "../engine_connections.ts";
import { CrashWatch } from "../quarantine/crash_watch.ts";
import { GatewayMetrics } from "../metrics.ts";
import { LimitKeeper } from "../limit_keeper.ts";
import type { RequestPasser } from "../reach/request_passer.ts";
import type { StreamDecision } from "../software_versions/stream_versions.ts";
import { RequestGuard } from "../quarantine/request_guard.ts";
import { Relay } from "../relay.ts";

/** The headers of an engine's response to the request of `sendRequest`. */
export const SEALED_HEADERS = {
  [RESPONSE_HEADERS.id]: "r1",
  [RESPONSE_HEADERS.seal]: "s",
};

/** Time after which the suspects of a crash are complete, in milliseconds. A
 * relay without peers could do without. */
const SETTLE_MS = 50;

/** Room for the bodies of requests, in bytes. */
const BODY_ROOM_BYTES = 64 * 1024 * 1024;

const ANY_VERSION: StreamDecision = { kind: "any" };

const SINGLE_INSTANCE = { names: ["self"], isCutOff: false };

/** Ends what a test has started, in reverse order. */
const cleanups: (() => void)[] = [];

/** Registers an action that ends something a test has started. */
export function addCleanup(cleanup: () => void): void {
  cleanups.push(cleanup);
}

/** Ends everything that the last test has started. */
export function cleanUp(): void {
  for (const cleanup of cleanups.splice(0)) cleanup();
}

/** Starts an HTTP server on a free port. */
export async function listen(handle: RequestListener): Promise<Server> {
  const server = createServer(handle);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  addCleanup(() => {
    server.closeAllConnections();
    server.close();
  });
  return server;
}

/** The port of a server. */
export function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

/** Options of a relay. */
export interface RelayOptions {
  readonly route: Partial<Route>;
  /** Adapters that all engines hold. */
  readonly adapters?: readonly string[];
  /** Adapters that an engine holds, by its place among the handlers. */
  readonly adaptersOf?: (place: number) => readonly string[];
  readonly load?: (
    view: { readonly engine: Engine },
    request: { readonly patient?: boolean | undefined },
  ) => Promise<boolean>;
  readonly limits?: EngineLimits;
  /** The table that the engines are added to. */
  readonly engineTable?: EngineTable;
  readonly bodyRoom?: BodyRoom;
  readonly maxBodyBytes?: number;
  /** Zones of the engines, `z` if omitted. The region of a zone is its first
   * letter. */
  readonly zones?: readonly string[];
  /** Versions of the engines' software; none if omitted. */
  readonly softwareVersions?: readonly string[];
  /** What is decided on a stream's version: any, if omitted. */
  readonly streamDecision?: StreamDecision | Promise<StreamDecision>;
  readonly isEvacuated?: (zone: string) => boolean;
  /** Changes the route while the relay runs. */
  readonly currentRoute?: () => Partial<Route>;
  /** Passes requests on; not, if omitted. */
  readonly passer?: RequestPasser;
  /** Is told what shows that engines are reached. */
  readonly reach?: EngineReach;
  /** Receives the fields of each log line. */
  readonly onLog?: (fields: Readonly<Record<string, unknown>>) => void;
}

/** Starts the relays of several instances before the same engines. Returns
 * their ports. */
export async function startRelays(
  count: number,
  enginePorts: readonly number[],
  options: RelayOptions,
): Promise<readonly number[]> {
  const names = Array.from({ length: count }, (_, i) => `i${i}`);
  const fleet = names.map((name) =>
    new EngineLimits(name, () => ({ names, isCutOff: false }))
  );
  const timer = setInterval(() => exchangeLimits(fleet), DIGEST_TICK_MS);
  addCleanup(() => clearInterval(timer));
  const ports: number[] = [];
  for (const limits of fleet) {
    ports.push(await startRelay(enginePorts, { ...options, limits }));
  }
  return ports;
}

/** Reports the limits of engines as digests do. */
function exchangeLimits(fleet: readonly EngineLimits[]): void {
  const now = performance.now();
  for (const from of fleet) {
    const report = Object.fromEntries(
      from.report(now).map(([key, , record]) => [key, record]),
    );
    for (const to of fleet) if (to !== from) to.receive(report, now);
  }
}

/** Starts a relay with one engine for each handler, or for each port on which
 * an engine listens already. Returns the relay's port. */
export async function startRelay(
  handlers: readonly (RequestListener | number)[],
  options: RelayOptions,
): Promise<number> {
  const relay = await createRelay(handlers, options);
  return portOf(await listen((req, res) => void relay.serve(req, res)));
}

/** Creates a relay without a listener; see `startRelay`. */
export async function createRelay(
  handlers: readonly (RequestListener | number)[],
  options: RelayOptions,
): Promise<Relay> {
  const engines: Engine[] = [];
  for (const [i, handle] of handlers.entries()) {
    engines.push({
      key: `e${i}@1`,
      id: `e${i}`,
      service: "svc",
      host: "127.0.0.1",
      port: typeof handle === "number" ? handle : portOf(await listen(handle)),
      zone: options.zones?.[i] ?? "z",
      softwareVersion: options.softwareVersions?.[i],
      slots: 8,
      leaving: false,
      remainingMs: undefined,
      models: [{
        name: "m",
        adapters: (options.adaptersOf?.(i) ?? options.adapters ?? []).map((
          name,
        ) => ({
          name,
          version: 1,
        })),
      }],
    });
  }
  const createRouteTable = (changes: Partial<Route>) =>
    new RouteTable({
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
        ...changes,
      }],
      services: [],
      workspaces: [],
      limits: {
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
        maxHeaderBytes: 1000,
        maxBodyBytes: options.maxBodyBytes ?? 1000,
      },
    });
  const routeTable = createRouteTable({});
  const engineTable = options.engineTable ?? new EngineTable();
  engineTable.setEngines(engines);
  const connections = new EngineConnections(options.reach);
  addCleanup(() => connections.close());
  const retryBudget = new RetryBudget({
    ratio: 1,
    windowMs: 10_000,
    fixedRetries: 50,
  });
  const log = new EventLog(pino({}, {
    write: (line: string) => options.onLog?.(JSON.parse(line)),
  }));
  const metrics = new GatewayMetrics();
  const limits = options.limits ??
    new EngineLimits("self", () => SINGLE_INSTANCE);
  const control = { probe: probeByConnecting };
  const quarantine = new Quarantine("self", {
    onHold: () => undefined,
    onRelease: () => undefined,
    settleMs: () => SETTLE_MS,
  });
  const guardDependencies = {
    quarantine,
    crashWatch: new CrashWatch({ quarantine, control, log, metrics }),
    instances: () => SINGLE_INSTANCE,
    log,
    metrics,
  };
  return new Relay({
    protocol: new PlatformCallerProtocol(),
    routeTable: () =>
      options.currentRoute === undefined
        ? routeTable
        : createRouteTable(options.currentRoute()),
    configurationAgeMs: () => 70,
    // Of engines that are equally busy the first is taken.
    chooser: new EngineChooser(engineTable, new LoadForecast(() => 0)),
    loader: {
      load: options.load ?? (() => Promise.resolve(false)),
      requestModel: () => undefined,
    } as unknown as AdapterLoader,
    connections,
    members: new MemberTable("self", -10_000),
    rates: { take: () => Promise.resolve(undefined) },
    retryBudgetOf: () => retryBudget,
    versionOf: () => 0,
    oldestVersionOf: () => 0,
    selectionContextAt: (now) => ({
      zone: "z",
      regionOf: (zone) => zone.slice(0, 1),
      isEvacuated: options.isEvacuated ?? (() => false),
      canOrder: () => true,
      roomOf: (key) =>
        limits.roomOf(key, now, engineTable.get(key)?.path.waitingCount),
      linkMs: () => 0,
      now,
    }),
    use: new AdapterUsageCounts(),
    limits: new LimitKeeper({ limits, log }),
    bodyRoom: options.bodyRoom ?? new BodyRoom(BODY_ROOM_BYTES),
    crashProtection: {
      guard: (request) => new RequestGuard(guardDependencies, request),
      held: () => [],
    },
    softwareVersions: {
      streams: new OpenStreams(),
      versions: {
        decide: async () => await (options.streamDecision ?? ANY_VERSION),
        countOf: () => 0,
        isInUse: () => true,
      },
    },
    ...options.passer && { passer: options.passer },
    hasTimeFor: () => true,
    log,
    metrics,
  });
}

/** Probes an engine without a request that its handler would count. */
function probeByConnecting(engine: EngineAddress): Promise<EngineProbe> {
  return new Promise((resolve) => {
    const socket = connect(engine.port, engine.host);
    socket.once("connect", () => {
      socket.destroy();
      resolve("running");
    });
    socket.once("error", () => resolve("ended"));
  });
}

/** A response as the caller received it. */
export interface TestResponse {
  readonly status: number;
  readonly body: string;
  readonly isComplete: boolean;
  readonly retryAfter: string | undefined;
}

/** What a request asks for, if it is no read of `/x`. */
export interface TestRequest {
  readonly method?: string;
  readonly path?: string;
  readonly body?: string | undefined;
  /** When the caller closes its connection, in milliseconds. */
  readonly leaveAfterMs?: number;
}

/** Sends a request to a relay; rejects if no response arrives. */
export function sendRequest(
  port: number,
  headers: Record<string, string> = {},
  { method = "GET", path = "/x", body, leaveAfterMs }: TestRequest = {},
): Promise<TestResponse> {
  return new Promise((resolve, reject) => {
    const req = request({
      host: "127.0.0.1",
      port,
      method,
      path,
      agent: false,
      headers: { host: "h", "request-id": "r1", deadline: "2000", ...headers },
    });
    req.on("error", reject);
    req.on("response", (response: IncomingMessage) => {
      let body = "";
      const status = response.statusCode ?? 0;
      const retryAfter = response.headers["retry-after"];
      const finish = (isComplete: boolean) =>
        resolve({ status, body, isComplete, retryAfter });
      response.on("data", (chunk: Buffer) => (body += chunk.toString()));
      response.on("error", () => finish(false));
      response.on("end", () => finish(true));
    });
    req.end(body);
    if (leaveAfterMs !== undefined) {
      setTimeout(() => req.destroy(), leaveAfterMs);
    }
  });
}
