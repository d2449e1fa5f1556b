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
const IDLE_MS = 30_000;

/** Idle connections are probed after this time, in milliseconds. */
const PROBE_IDLE_MS = 1000;

/** A connection that waits for its next request. */
interface Idle {
  readonly since: number;
  /** How long its engine keeps it, as stated with the last answer. */
  readonly statedMs: number | undefined;
}

/** An agent that drops a connection on which bytes come unasked, or that has
 * been idle for too long. */
class EngineAgent extends Agent {
  readonly #idle = new WeakMap<Duplex, Idle>();
  #retired = false;

  /** Keeps no connection any longer than its request. */
  retire(): void {
    this.#retired = true;
    for (const idle of Object.values(this.freeSockets)) {
      for (const socket of idle ?? []) socket.destroy();
    }
  }

  /** Closes connections that the engine may be about to drop. */
  closeIdle(limit: IdleLimit, once: boolean): void {
    const now = performance.now();
    for (const free of Object.values(this.freeSockets)) {
      for (const socket of free ?? []) {
        const idle = this.#idle.get(socket);
        if (idle === undefined) continue;
        const { since, statedMs } = idle;
        if (
          now - since > limit.allowedMs({ once, advertisedMs: statedMs, now })
        ) {
          socket.destroy();
        }
      }
    }
  }

  /** Since when a connection was idle before its latest request. */
  idleSince(socket: Duplex): number | undefined {
    return this.#idle.get(socket)?.since;
  }

  override keepSocketAlive(stream: Duplex): boolean {
    if (this.#retired) return false;
    const socket = stream as Socket & {
      readonly _httpMessage?: { readonly res?: IncomingMessage };
    };
    socket.setKeepAlive(true, PROBE_IDLE_MS);
    socket.on("data", destroyOnData);
    this.#idle.set(socket, {
      since: performance.now(),
      statedMs: statedIdleMs(
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
function statedIdleMs(
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
export interface Outgoing {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Whether it must not be sent twice. */
  readonly once: boolean;
}

/** One request under way. */
export interface EngineCall {
  readonly req: ClientRequest;
  /** Whether bytes may have reached the engine. */
  written(): boolean;
}

/** Connections to all engines, an agent for each start of one. */
export class EngineConnections {
  readonly #agents = new Map<string, EngineAgent>();
  /** What is known of idle connections, by service. */
  readonly #idleLimits = new Map<string, IdleLimit>();

  /** Starts a request. */
  send(
    engine: Engine,
    out: Outgoing,
    limits: { readonly maxConnections: number; readonly instances: number },
  ): EngineCall {
    const agent = this.#agent(engine.key);
    const startedAt = performance.now();
    agent.maxSockets = Math.max(
      CONNECTIONS_MIN,
      Math.floor(
        limits.maxConnections * CONNECTIONS_FRACTION /
          Math.max(1, limits.instances),
      ),
    );
    const idleLimit = this.#idleLimit(engine.service);
    agent.closeIdle(idleLimit, out.once);
    const req = request({
      agent,
      host: engine.host,
      port: engine.port,
      method: out.method,
      path: out.path,
      headers: out.headers as string[],
      setHost: false,
    });
    let answered = false;
    req.once("response", () => (answered = true));
    req.once("error", (err: NodeJS.ErrnoException) => {
      if (answered || !req.reusedSocket || err.code !== "ECONNRESET") return;
      const since = req.socket && agent.idleSince(req.socket);
      if (since) idleLimit.recordReset(startedAt - since, startedAt);
    });
    let written = false;
    req.on("socket", (socket: Socket) => {
      if (!socket.connecting) {
        written = true;
        return;
      }
      const timer = setTimeout(
        () => socket.destroy(new Error("connection timed out")),
        CONNECT_TIMEOUT_MS,
      );
      socket.once("connect", () => {
        written = true;
        clearTimeout(timer);
      });
      socket.once("close", () => clearTimeout(timer));
    });
    req.end(out.body);
    return { req, written: () => written };
  }

  /** Engines with connections. */
  keys(): Iterable<string> {
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

  #idleLimit(service: string): IdleLimit {
    let limit = this.#idleLimits.get(service);
    if (limit === undefined) {
      limit = new IdleLimit(IDLE_MS);
      this.#idleLimits.set(service, limit);
    }
    return limit;
  }

  #agent(key: string): EngineAgent {
    let agent = this.#agents.get(key);
    if (agent === undefined) {
      agent = new EngineAgent({
        keepAlive: true,
        scheduling: "lifo",
        timeout: IDLE_MS,
      });
      this.#agents.set(key, agent);
    }
    return agent;
  }
}
