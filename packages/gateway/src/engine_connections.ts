/** Connections to engines, and one request on one of them.
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
import { type Engine, IdleLimit } from "@banyanlb/serving";

/** Time allowed for a new connection, in milliseconds: engines accept within
 * a few; a machine without power never answers. */
const CONNECT_TIMEOUT_MS = 700;

/** Connections that one instance may open to an engine at least. */
const CONNECTIONS_MIN = 4;

/** Part of an engine's connections that all instances use together: control
 * calls and connections that are closing need the rest. */
const CONNECTIONS_FRACTION = 0.85;

/** Idle connections are closed by us after this time, in milliseconds, unless
 * the engine states less or was seen to drop them sooner. New ones are dear. */
const IDLE_TIMEOUT_MS = 30_000;

/** Idle connections are probed after this time, in milliseconds. */
const KEEP_ALIVE_PROBE_MS = 1000;

/** A connection that waits for its next request. */
interface IdleConnection {
  readonly idleSince: number;
  /** How long its engine keeps it, as stated with the last answer. */
  readonly keepAliveMs: number | undefined;
}

/** An agent that drops a connection on which bytes come unasked, or that has
 * been idle for too long. */
class EngineAgent extends Agent {
  readonly #idleConnections = new WeakMap<Duplex, IdleConnection>();
  #isRetired = false;

  /** Keeps no connection any longer than its request. */
  retire(): void {
    this.#isRetired = true;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** Closes connections that the engine may be about to drop. */
  closeIdle(limit: IdleLimit, once: boolean): void {
    const now = performance.now();
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) {
        const idle = this.#idleConnections.get(socket);
        if (idle === undefined) continue;
        const { idleSince, keepAliveMs: statedMs } = idle;
        if (
          now - idleSince > limit.allowedMs({ once, advertisedMs: statedMs, now })
        ) {
          socket.destroy();
        }
      }
    }
  }

  /** Since when a connection was idle before its latest request. */
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

/** Milliseconds for which an engine says that it keeps an idle connection. */
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

/** One request to send. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Whether it must not be sent twice. */
  readonly once: boolean;
}

/** One request under way. */
export interface EngineRequest {
  readonly req: ClientRequest;
  /** Whether bytes may have reached the engine. */
  isSent(): boolean;
}

/** Connections to all engines, an agent for each start of one. */
export class EngineConnections {
  readonly #agents = new Map<string, EngineAgent>();
  /** What is known of idle connections, by service. */
  readonly #idleLimits = new Map<string, IdleLimit>();

  /** Starts a request. */
  send(
    engine: Engine,
    outgoing: OutgoingRequest,
    limits: { readonly maxConnections: number; readonly instances: number },
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
    let isSent = false;
    req.on("socket", (socket: Socket) => {
      if (!socket.connecting) {
        isSent = true;
        return;
      }
      const timer = setTimeout(
        () => socket.destroy(new Error("connection timed out")),
        CONNECT_TIMEOUT_MS,
      );
      socket.once("connect", () => {
        isSent = true;
        clearTimeout(timer);
      });
      socket.once("close", () => clearTimeout(timer));
    });
    req.end(outgoing.body);
    return { req, isSent: () => isSent };
  }

  /** Engines with connections. */
  engineKeys(): Iterable<string> {
    return this.#agents.keys();
  }

  /** Closes the idle connections of an engine that is gone from the list. It
   * finishes what it runs, so the others close after their answers. */
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
