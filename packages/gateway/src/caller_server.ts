/** The listeners of callers: requests, addresses, readiness, metrics.
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
import type { CallerLimits } from "@banyanlb/serving";

/** Added to the idle time that callers may use, so that a request which crosses
 * the end of that time still finds the connection open. */
const KEEP_ALIVE_MARGIN_MS = 1000;

/** Answers one request. */
export type RequestHandler = (
  req: IncomingMessage,
  res: ServerResponse,
) => void;

/** One listener. */
export class CallerServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #activeCount = 0;
  #lastActiveAt = performance.now();
  #isDraining = false;

  constructor(
    handle: RequestHandler,
    options: { readonly maxHeaderBytes: number },
  ) {
    this.#server = createServer(
      {
        keepAlive: true,
        noDelay: true,
        maxHeaderSize: options.maxHeaderBytes,
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
      if (err.code === "ECONNRESET" || !socket.writable) socket.destroy();
      else socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n");
    });
    this.#server.on("checkContinue", (req, res) => {
      res.writeContinue();
      this.#server.emit("request", req, res);
    });
  }

  /** Requests that are being served. */
  get active(): number {
    return this.#activeCount;
  }

  /** Milliseconds since the last request ended. */
  idleMs(): number {
    return this.#activeCount > 0 ? 0 : performance.now() - this.#lastActiveAt;
  }

  /** Puts the limits of the configuration in force. */
  setLimits(limits: CallerLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
  }

  /** Asks callers to close their connections after the next answer. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Starts to accept connections. */
  listen(address: { readonly host: string; readonly port: number }) {
    return new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(address.port, address.host, 1024, () => resolve());
    });
  }

  /** Ends all connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}
