/** An engine whose response never ends.
 *
 * @module
 */
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

const CHUNK_BYTES = 64 * 1024;

/** Answers each request with `prefix` and then with `filler` without end, as
 * fast as the connection takes it, or in one piece each `pauseMs`. */
export class EndlessEngine {
  /** Bytes that were passed to connections. */
  sentBytes = 0;
  /** Connections that are open. */
  openConnections = 0;
  /** Requests that were received. */
  requests = 0;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #prefix: string;
  readonly #filler: Buffer;
  readonly #pauseMs: number;

  constructor(prefix: string, filler: string, { pauseMs = 0 } = {}) {
    this.#prefix = prefix;
    this.#pauseMs = pauseMs;
    const repeats = pauseMs > 0 ? 1 : Math.ceil(CHUNK_BYTES / filler.length);
    this.#filler = Buffer.from(filler.repeat(repeats));
    this.#server = createServer((socket) => this.#serve(socket));
  }

  /** Starts the engine; resolves to its port. */
  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", () => {
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Closes the engine and its connections. */
  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #serve(socket: Socket): void {
    this.#sockets.add(socket);
    this.openConnections += 1;
    // The gateway resets the connection.
    socket.on("error", () => undefined);
    socket.on("close", () => {
      this.openConnections -= 1;
      this.#sockets.delete(socket);
    });
    socket.once("data", () => {
      this.requests += 1;
      socket.write(this.#prefix);
      this.#fill(socket);
    });
  }

  #fill(socket: Socket): void {
    if (socket.destroyed) return;
    this.sentBytes += this.#filler.length;
    const hasRoom = socket.write(this.#filler);
    if (this.#pauseMs > 0) setTimeout(() => this.#fill(socket), this.#pauseMs);
    else if (hasRoom) setImmediate(() => this.#fill(socket));
    else socket.once("drain", () => this.#fill(socket));
  }
}
