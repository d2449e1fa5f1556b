/** Connection pools to engines.
 *
 * @module
 */
import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { limitFraming, ResponseTooLargeError } from "@banyanlb/platform";
import { type Engine, type EngineReach, IdleLimit } from "@banyanlb/serving";

/** Minimum number of connections that one instance may open to an engine. */
const CONNECTIONS_MIN = 4;

/** Fraction of an engine's connection limit that all instances together use for
 * requests. Control connections and connections that are closing need the
 * rest. */
const CONNECTIONS_FRACTION = 0.85;

/** Idle time after which the gateway closes a connection, in milliseconds,
 * unless the engine advertises a shorter one or was observed to drop
 * connections earlier. It is long because new connections are expensive. */
const IDLE_TIMEOUT_MS = 30_000;

/** Idle time after which TCP keep-alive probes are sent, in milliseconds. */
const KEEP_ALIVE_PROBE_MS = 1000;

/** Why a request failed after it was sent. */
export function reasonOf(err: Error): string {
  if (err instanceof ResponseTooLargeError) return "response_too_large";
  return err.message.startsWith("Parse Error") ? "garbled" : "connection_lost";
}

/** State of a connection that is kept for its next request. */
interface IdleConnection {
  readonly idleSince: number;
  /** How long the engine keeps the connection, in milliseconds, as advertised
   * in the `Keep-Alive` header of its last response. */
  readonly keepAliveMs: number | undefined;
}

/** An agent that closes a connection if it receives bytes while no request is
 * pending on it, or if it has been idle for too long. */
class EngineAgent extends Agent {
  readonly #idleConnections = new WeakMap<Duplex, IdleConnection>();
  /** The id of the last request on each connection. */
  readonly #lastIds = new WeakMap<Duplex, string | undefined>();
  #isRetired = false;

  /** Closes the idle connections, and every other connection when its request
   * has ended. */
  retire(): void {
    this.#isRetired = true;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** Closes idle connections that the engine may be about to drop. `once` is
   * whether the next request must not be sent twice. */
  closeIdle(limit: IdleLimit, once: boolean): void {
    const now = performance.now();
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) {
        const idle = this.#idleConnections.get(socket);
        if (idle === undefined) continue;
        const { idleSince, keepAliveMs: advertisedKeepAliveMs } = idle;
        if (
          now - idleSince >
            limit.allowedMs({ once, advertisedMs: advertisedKeepAliveMs, now })
        ) {
          socket.destroy();
        }
      }
    }
  }

  /** Keeps a request that is sent again off the connection on which it was
   * refused: the refusal may come once more there, under the same id. */
  avoid(id: string | undefined): void {
    if (id === undefined) return;
    for (const sockets of Object.values(this.freeSockets)) {
      if (sockets === undefined) continue;
      const tainted = sockets.filter((s) => this.#lastIds.get(s) === id);
      if (tainted.length === 0) continue;
      const others = sockets.filter((s) => !tainted.includes(s));
      // The agent takes the last one.
      sockets.splice(0, Infinity, ...tainted, ...others);
      if (others.length === 0) { for (const s of tainted) s.destroy(); }
    }
  }

  /** Records the request that is sent on a connection. */
  recordUse(socket: Duplex, id: string | undefined): void {
    this.#lastIds.set(socket, id);
  }

  /** When a connection last became idle, before its current request. */
  idleSince(socket: Duplex): number | undefined {
    return this.#idleConnections.get(socket)?.idleSince;
  }

  override keepSocketAlive(stream: Duplex): boolean {
    if (this.#isRetired) return false;
    const socket = stream as Socket & {
      readonly _httpMessage?: { readonly res?: IncomingMessage };
    };
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MS);
    socket.on("data", destroyOnData);
    this.#idleConnections.set(socket, {
      idleSince: performance.now(),
      keepAliveMs: parseKeepAliveMs(
        socket._httpMessage?.res?.headers["keep-alive"],
      ),
    });
    return true;
  }

  override reuseSocket(socket: Duplex, req: ClientRequest): void {
    socket.removeListener("data", destroyOnData);
    super.reuseSocket(socket, req);
  }
}

/** Parses the time for which an engine keeps an idle connection, in
 * milliseconds, from its `Keep-Alive` header. */
function parseKeepAliveMs(
  header: string | string[] | undefined,
): number | undefined {
  const text = String(header ?? "");
  const seconds = /(?:^|[,\s])timeout=(\d+)/i.exec(text)?.[1];
  return seconds === undefined ? undefined : Number(seconds) * 1000;
}

function destroyOnData(this: Socket): void {
  this.destroy();
}

/** A request to be sent to an engine. */
export interface OutgoingRequest {
  /** The id of the caller's request, the same each time it is sent. */
  readonly id: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Whether the request must not be sent twice. */
  readonly once: boolean;
}

/** A request that is in progress at an engine. */
export interface EngineRequest {
  readonly req: ClientRequest;
  /** Whether bytes of the request may have reached the engine. */
  isSent(): boolean;
  /** Calls `listener` when the request is written to a connection, which has been
   * established by then. */
  onSent(listener: () => void): void;
  /** Time from the start of the request until it was written to a connection,
   * in milliseconds; undefined if it was not. */
  connectionMs(): number | undefined;
}

/** Connections to all engines. Each engine has its own agent, and gets a new
 * one when it restarts. */
export class EngineConnections {
  readonly #agents = new Map<string, EngineAgent>();
  /** Limits on the idle time of connections, by service. */
  readonly #idleLimits = new Map<string, IdleLimit>();
  readonly #reach: EngineReach | undefined;

  /** `reach`, if given, is told what shows that engines are reached. */
  constructor(reach?: EngineReach) {
    this.#reach = reach;
  }

  /** Starts to send a request. `limits.maxConnections` is the number of
   * connections that the engine accepts from all instances together;
   * `limits.instances` is the number of instances that share them. The request
   * fails if `limits.mayWrite` returns false once its connection has come. */
  send(
    engine: Engine,
    outgoing: OutgoingRequest,
    limits: {
      readonly maxConnections: number;
      readonly instances: number;
      readonly mayWrite?: () => boolean;
    },
  ): EngineRequest {
    const agent = this.#agentFor(engine.key);
    const startedAt = performance.now();
    agent.maxSockets = Math.max(
      CONNECTIONS_MIN,
      Math.floor(
        limits.maxConnections * CONNECTIONS_FRACTION /
          Math.max(1, limits.instances),
      ),
    );
    const idleLimit = this.#idleLimitFor(engine.service);
    agent.closeIdle(idleLimit, outgoing.once);
    if (outgoing.once) agent.avoid(outgoing.id);
    const req = request({
      agent,
      host: engine.host,
      port: engine.port,
      method: outgoing.method,
      path: outgoing.path,
      headers: outgoing.headers as string[],
      setHost: false,
    });
    let hasResponse = false;
    req.once("response", () => (hasResponse = true));
    req.once("error", (err: NodeJS.ErrnoException) => {
      if (hasResponse || !req.reusedSocket || err.code !== "ECONNRESET") return;
      const idleSince = req.socket && agent.idleSince(req.socket);
      if (idleSince) idleLimit.recordReset(startedAt - idleSince, startedAt);
    });
    // Without a listener, Node closes the connection and emits no error.
    req.once("upgrade", (_, socket) => {
      socket.destroy();
      req.emit("error", new Error("Parse Error: unexpected upgrade"));
    });
    let isSent = false;
    let connectionMs: number | undefined;
    let notifySent: () => void = () => undefined;
    const markSent = () => {
      if (limits.mayWrite?.() === false) {
        req.destroy(new Error("the engine may not get the request any more"));
        return;
      }
      isSent = true;
      connectionMs = Math.round(performance.now() - startedAt);
      notifySent();
    };
    req.on("socket", (socket: Socket) => {
      limitFraming(req, socket);
      agent.recordUse(socket, outgoing.id);
      if (!socket.connecting) {
        markSent();
        return;
      }
      // Before the request is written, which waits for the same event.
      socket.once("connect", markSent);
    });
    this.#watchReach(req, engine);
    req.end(outgoing.body);
    return {
      req,
      isSent: () => isSent,
      onSent: (listener) => (notifySent = listener),
      connectionMs: () => connectionMs,
    };
  }

  /** Keys of the engines that have an agent. */
  engineKeys(): Iterable<string> {
    return this.#agents.keys();
  }

  /** Closes the idle connections to an engine that has been removed from the
   * engine list. The engine still finishes its running requests, so connections
   * in use are closed after their responses. */
  retire(engineKey: string): void {
    const agent = this.#agents.get(engineKey);
    if (agent === undefined) return;
    this.#agents.delete(engineKey);
    agent.retire();
  }

  /** Closes all connections. */
  close(): void {
    for (const agent of this.#agents.values()) agent.destroy();
    this.#agents.clear();
  }

  /** Records what a request shows of the path to its engine. */
  #watchReach(req: ClientRequest, { key, service }: Engine): void {
    const reach = this.#reach;
    if (reach === undefined) return;
    const expectation = reach.expect(key, service, performance.now());
    const recordBytes = () => reach.recordHeard(key, performance.now());
    const recordConnection = (isMade: boolean) =>
      reach.recordConnection(key, isMade, performance.now());
    req.once("socket", (socket: Socket) => {
      let isConnected = !socket.connecting;
      socket.on("data", recordBytes);
      if (!isConnected) {
        socket.once("connect", () => {
          isConnected = true;
          recordConnection(true);
        });
        // It is not emitted when this side gives up.
        socket.once("error", () => {
          if (!isConnected) recordConnection(false);
        });
      }
      req.once("close", () => socket.removeListener("data", recordBytes));
    });
    req.once("close", () => reach.end(expectation));
  }

  #idleLimitFor(service: string): IdleLimit {
    let limit = this.#idleLimits.get(service);
    if (limit === undefined) {
      limit = new IdleLimit(IDLE_TIMEOUT_MS);
      this.#idleLimits.set(service, limit);
    }
    return limit;
  }

  #agentFor(key: string): EngineAgent {
    let agent = this.#agents.get(key);
    if (agent === undefined) {
      agent = new EngineAgent({
        keepAlive: true,
        scheduling: "lifo",
        timeout: IDLE_TIMEOUT_MS,
      });
      this.#agents.set(key, agent);
    }
    return agent;
  }
}
