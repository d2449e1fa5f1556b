/** The WebSocket server for peers and operators.
 *
 * @module
 */
import { type AnyRouter, TRPCError } from "@trpc/server";
import { applyWSSHandler } from "@trpc/server/adapters/ws";
import { timingSafeEqual } from "node:crypto";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { WebSocketServer } from "ws";
import { PEER_MESSAGE_MAX_BYTES } from "./constants.ts";
import type { PeerContext } from "./trpc.ts";

function isSameToken(presented: unknown, expected: string): boolean {
  const presented_bytes = Buffer.from(String(presented ?? ""));
  const expected_bytes = Buffer.from(expected);
  return presented_bytes.length === expected_bytes.length &&
    timingSafeEqual(presented_bytes, expected_bytes);
}

/** Options of the peer server. */
export interface PeerServerOptions {
  readonly token: string;
  /** Called with the path and the error of each message that a procedure's
   * schema rejects. */
  readonly onRejected: (path: string, message: string) => void;
}

/** Serves trpc calls from peers and operators over WebSockets. */
export class PeerServer {
  readonly #http: Server = createServer();
  readonly #ws: WebSocketServer;

  constructor(router: AnyRouter, options: PeerServerOptions) {
    this.#ws = new WebSocketServer({
      server: this.#http,
      perMessageDeflate: false,
      maxPayload: PEER_MESSAGE_MAX_BYTES,
    });
    applyWSSHandler({
      wss: this.#ws,
      router,
      createContext: ({ info }): PeerContext => ({
        is_trusted: isSameToken(
          info.connectionParams?.["token"],
          options.token,
        ),
      }),
      onError: ({ error, path }) => {
        if (!(error instanceof TRPCError) || error.code !== "BAD_REQUEST") {
          return;
        }
        options.onRejected(path ?? "", error.message);
      },
    });
  }

  /** Starts to listen and resolves with the bound port. */
  listen(address: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#http.once("error", reject);
      this.#http.listen(port, address, () => {
        resolve((this.#http.address() as AddressInfo).port);
      });
    });
  }

  /** Closes all connections and stops listening. */
  async close(): Promise<void> {
    for (const client of this.#ws.clients) client.terminate();
    this.#ws.close();
    await new Promise<void>((resolve) => {
      this.#http.close(() => resolve());
      this.#http.closeAllConnections();
    });
  }
}
