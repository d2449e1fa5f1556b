/** Serves the measured router over WebSockets and HTTP on one port, in a
 * separate process. Replies to each message of its parent with the bytes that
 * its connections have carried so far.
 *
 * @module
 */
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { applyWSSHandler } from "@trpc/server/adapters/ws";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { WebSocketServer } from "ws";
import { link_router, type LinkServerMessage } from "./link_router.ts";

const sockets = new Set<Socket>();
let closed_bytes = 0;

function countBytes(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}

function notifyParent(message: LinkServerMessage): void {
  process.send?.(message);
}

const server = createServer(createHTTPHandler({ router: link_router }));
server.on("connection", (socket) => {
  sockets.add(socket);
  socket.once("close", () => {
    sockets.delete(socket);
    closed_bytes += countBytes(socket);
  });
});
const wss = new WebSocketServer({ server, perMessageDeflate: false });
applyWSSHandler({ wss, router: link_router });

process.on("message", () => {
  const open_bytes = [...sockets].reduce(
    (sum, socket) => sum + countBytes(socket),
    0,
  );
  notifyParent({ bytes: closed_bytes + open_bytes });
});
process.on("disconnect", () => process.exit(0));
server.listen(0, "127.0.0.1", () => {
  notifyParent({ port: (server.address() as AddressInfo).port });
});
