/** The HTTP server for callers.
 *
 * @module
 */
import { type EventLog, type Metrics, Refusal } from "@banyanlb/core";
import createRouter from "find-my-way";
import { randomUUID } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";
import {
  CALLER_HEADERS_TIMEOUT_MS,
  CALLER_KEEP_ALIVE_TIMEOUT_MS,
  CALLER_REQUEST_TIMEOUT_MS,
} from "./constants.ts";
import { REFUSED, REQUEST_FAILED } from "./events.ts";
import { sendRefusal } from "./http_response.ts";

/** One HTTP request of a caller, with its response. */
export interface Call {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Correlates the response, the request that the target receives and the
   * log. */
  readonly request_id: string;
  /** Parameters of the matched path. */
  readonly params: Readonly<Record<string, string | undefined>>;
  /** Aborts when the caller disconnects before its response is complete. */
  readonly disconnect_signal: AbortSignal;
}

/** Serves one call. Throws a {@linkcode Refusal} to refuse it. */
export type CallHandler = (call: Call) => Promise<void>;

/** A method and path with their handler. */
export interface CallRoute {
  readonly method: "GET" | "POST" | "ANY";
  readonly path: string;
  readonly handle: CallHandler;
}

/** Dependencies of the server. */
export interface CallerServerDeps {
  readonly log: EventLog;
  readonly metrics: Metrics;
}

const ROUTED_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"] as const;

function createDisconnectSignal(res: ServerResponse): AbortSignal {
  const controller = new AbortController();
  res.on("close", () => {
    if (!res.writableFinished) controller.abort(new Error("caller aborted"));
  });
  return controller.signal;
}

function refuseUnknownPath(call: Call): Promise<void> {
  const message = `no route for ${call.req.method} ${call.req.url}`;
  throw new Refusal("unknown_route", { message, not_run: true });
}

function describeMalformedRequest(code: string | undefined): string {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return "the headers are too large";
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return "the request did not arrive whole in time";
    default:
      return "this is not a valid HTTP/1.1 request";
  }
}

/** Accepts connections of callers, routes each request to its handler and
 * turns errors of the handler into a response. */
export class CallerServer {
  readonly #deps: CallerServerDeps;
  readonly #router = createRouter({
    defaultRoute: (req, res) => {
      const route = { method: "ANY", path: "*", handle: refuseUnknownPath };
      void this.#serve(route as CallRoute, { req, res, params: {} });
    },
  });
  readonly #server: Server;
  #is_closing = false;

  constructor(deps: CallerServerDeps, routes: readonly CallRoute[]) {
    this.#deps = deps;
    for (const route of routes) this.#register(route);
    this.#server = createServer({
      headersTimeout: CALLER_HEADERS_TIMEOUT_MS,
      requestTimeout: CALLER_REQUEST_TIMEOUT_MS,
      keepAliveTimeout: CALLER_KEEP_ALIVE_TIMEOUT_MS,
      connectionsCheckingInterval: CALLER_HEADERS_TIMEOUT_MS,
    }, (req, res) => {
      if (this.#is_closing) res.setHeader("connection", "close");
      this.#router.lookup(req, res);
    });
    this.#server.on("clientError", (cause: NodeJS.ErrnoException, socket) => {
      this.#refuseMalformed(cause, socket);
    });
  }

  /** Starts listening. Resolves to the port. */
  listen(address: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, address, () => {
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Makes each further response close its connection, so that callers
   * reconnect to another instance for their next request. */
  closeAfterResponses(): void {
    this.#is_closing = true;
  }

  /** Stops listening and closes idle connections. Running calls continue. */
  stopAccepting(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Stops listening and closes every connection. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #register(route: CallRoute): void {
    const methods = route.method === "ANY" ? ROUTED_METHODS : [route.method];
    this.#router.on([...methods], route.path, (req, res, params) => {
      void this.#serve(route, { req, res, params });
    });
  }

  async #serve(
    route: CallRoute,
    parts: Pick<Call, "params"> & { req: IncomingMessage; res: ServerResponse },
  ): Promise<void> {
    const request_id = randomUUID();
    parts.res.setHeader("x-request-id", request_id);
    const call: Call = {
      ...parts,
      request_id,
      disconnect_signal: createDisconnectSignal(parts.res),
    };
    try {
      await route.handle(call);
    } catch (cause) {
      this.#refuse(call, cause);
    }
  }

  /** Responds 400 to input that is not valid HTTP or did not arrive in time. */
  #refuseMalformed(cause: NodeJS.ErrnoException, socket: Duplex): void {
    if (!socket.writable || cause.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    const refusal = new Refusal("bad_request", {
      message: describeMalformedRequest(cause.code),
      not_run: true,
    });
    this.#deps.metrics.count("refused", { kind: refusal.kind });
    const body = refusal.toJson();
    socket.end(
      "HTTP/1.1 400 Bad Request\r\nconnection: close\r\n" +
        "content-type: application/json\r\n" +
        `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
  }

  #refuse(call: Call, cause: unknown): void {
    if (call.disconnect_signal.aborted) {
      this.#deps.metrics.count("caller_gone");
      return;
    }
    const refusal = this.#toRefusal(cause, call.request_id);
    this.#deps.metrics.count("refused", { kind: refusal.kind });
    this.#deps.log.write(REFUSED, {
      request_id: call.request_id,
      kind: refusal.kind,
      message: refusal.message,
    });
    sendRefusal(call.res, refusal);
  }

  #toRefusal(cause: unknown, request_id: string): Refusal {
    if (cause instanceof Refusal) return cause;
    this.#deps.log.write(REQUEST_FAILED, { request_id, err: String(cause) });
    return new Refusal("internal_error", {
      message: `request ${request_id} failed unexpectedly`,
      not_run: false,
    });
  }
}
