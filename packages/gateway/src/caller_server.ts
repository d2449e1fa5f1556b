/** HTTP listeners for callers' requests, entry addresses, readiness and
 * metrics.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { ListenAddress } from "@banyanlb/platform";
import type { CallerLimits } from "@banyanlb/serving";
import { bindServer } from "./open_listener.ts";

/** Added to the configured idle timeout, so that a request that a caller sends
 * just before the timeout expires still finds the connection open. */
const KEEP_ALIVE_MARGIN_MS = 1000;

/** Maximum size of a head, in bytes, also until the configuration is known.
 * Thousands of connections may keep a part of a head each. */
const HEADER_MAX_BYTES = 64 * 1024;

/** Responses to input that is no request, by the code of the error. */
const REJECTIONS: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
};

/** Responds to one request. */
export type RequestHandler = (
  req: IncomingMessage,
  res: ServerResponse,
) => void;

/** One HTTP listener. */
export class CallerServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #activeCount = 0;
  #lastActiveAt = performance.now();
  #isDraining = false;

  constructor(handle: RequestHandler) {
    this.#server = createServer(
      {
        keepAlive: true,
        noDelay: true,
        maxHeaderSize: HEADER_MAX_BYTES,
        requestTimeout: 0,
        connectionsCheckingInterval: 1000,
      },
      (req, res) => {
        this.#activeCount += 1;
        if (this.#isDraining) res.shouldKeepAlive = false;
        res.on("close", () => {
          this.#activeCount -= 1;
          this.#lastActiveAt = performance.now();
        });
        handle(req, res);
      },
    );
    this.#server.on("connection", (socket: Socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    this.#server.on("clientError", (err: NodeJS.ErrnoException, socket) => {
      rejectInput(err, socket as CallerSocket);
    });
    this.#server.on("checkContinue", (req, res) => {
      res.writeContinue();
      this.#server.emit("request", req, res);
    });
  }

  /** Number of requests that are being served. */
  get active(): number {
    return this.#activeCount;
  }

  /** Milliseconds since the last request ended; 0 while one is being served. */
  idleMs(): number {
    return this.#activeCount > 0 ? 0 : performance.now() - this.#lastActiveAt;
  }

  /** Applies the limits of the published configuration. That on heads holds for
   * connections that are opened from now on. */
  setLimits(limits: CallerLimits): void {
    // Node reads it for each connection, but its types have no such property.
    Object.assign(this.#server, {
      maxHeaderSize: Math.min(limits.maxHeaderBytes, HEADER_MAX_BYTES),
    });
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
  }

  /** Sends `Connection: close` with every response from now on, so that callers
   * close their connections. Requests are still accepted. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Number of connections. */
  get connections(): number {
    return this.#sockets.size;
  }

  /** Stops listening, and closes the connections on which nothing was read since
   * the last response: their callers see that nothing was done. The others are
   * closed after their responses. */
  closeIntake(): void {
    this.#isDraining = true;
    this.#server.close();
    // Node counts them as connections with a request that is being read.
    for (const socket of this.#sockets) {
      if (socket.bytesRead === 0) socket.destroy();
    }
  }

  /** Starts to accept connections. Rejects if the address cannot be bound. */
  listen(address: ListenAddress): Promise<void> {
    return bindServer(this.#server, address);
  }

  /** Stops listening and closes all connections at once. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}

/** A socket and the response that is being served on it. */
type CallerSocket = Socket & { readonly _httpMessage?: ServerResponse | null };

/** Closes a connection after input that is no request. Nothing is sent that a
 * caller could take for the response to a request: one that is being served is
 * answered first, and a connection that was opened ahead is closed silently. */
function rejectInput(err: NodeJS.ErrnoException, socket: CallerSocket): void {
  const isGone = err.code === "ECONNRESET" || !socket.writable;
  if (isGone || socket.bytesRead === 0) {
    socket.destroy();
    return;
  }
  const response = socket._httpMessage;
  if (response) {
    response.shouldKeepAlive = false;
    response.once("finish", () => socket.destroySoon());
    return;
  }
  const status = REJECTIONS[err.code ?? ""] ?? "400 Bad Request";
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
}
