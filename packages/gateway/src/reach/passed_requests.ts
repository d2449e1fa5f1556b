/** Serves requests that other instances pass on, since they do not reach the
 * engines.
 *
 * They arrive on the listener for instances, on connections that begin with a
 * request. Only a member of the fleet knows the incarnation that it names.
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
import type { EventLog } from "@banyanlb/core";
import type { MemberTable } from "@banyanlb/serving";
import * as events from "../events.ts";

/** The instance that passes a request on, as NAME#INCARNATION. */
export const SENDER_HEADER = "banyanlb-instance";

/** Set to 1 in the response to a request that this instance did not take, so that
 * another one may be asked. */
export const NOT_TAKEN_HEADER = "banyanlb-not-taken";

/** Number of requests that are served for others at a time: callers of this
 * instance must not suffer. */
const TAKEN_MAX = 256;

/** How long a connection may be idle, in milliseconds. Those that pass requests on
 * close theirs earlier. */
const IDLE_TIMEOUT_MS = 60_000;

/** Maximum size of a head, in bytes: as large as those of callers, and what is
 * added to them. */
const HEADER_MAX_BYTES = 72 * 1024;

/** Parts of the gateway that serve passed requests. */
export interface PassedRequestsOptions {
  readonly members: MemberTable;
  /** Whether this instance has no path to engines itself. */
  readonly isCutOff: () => boolean;
  /** Serves a request without passing it on again. */
  readonly serve: (req: IncomingMessage, res: ServerResponse) => void;
  readonly log: EventLog;
}

/** The server for other instances. */
export class PassedRequests {
  readonly #options: PassedRequestsOptions;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #takenCount = 0;
  #isIntakeClosed = false;

  constructor(options: PassedRequestsOptions) {
    this.#options = options;
    this.#server = createServer({
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      maxHeaderSize: HEADER_MAX_BYTES,
      requestTimeout: 0,
    }, (req, res) => this.#serve(req, res));
  }

  /** Number of requests that are being served for others. */
  get active(): number {
    return this.#takenCount;
  }

  /** Takes a connection that carries requests. */
  accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.once("close", () => this.#sockets.delete(socket));
    this.#server.emit("connection", socket);
  }

  /** Takes no more requests: other instances are told to ask another one. */
  closeIntake(): void {
    this.#isIntakeClosed = true;
  }

  /** Closes all connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #serve(req: IncomingMessage, res: ServerResponse): void {
    const { members, isCutOff, serve, log } = this.#options;
    const sender = String(req.headers[SENDER_HEADER] ?? "");
    const [name = "", incarnation] = sender.split("#");
    const isMember = incarnation !== undefined &&
      members.get(name)?.incarnation === incarnation;
    if (!isMember) {
      log.write(events.PASSED_REQUEST_REFUSED, { sender: name });
      return refuse(res, 403);
    }
    const isTaken = !this.#isIntakeClosed && !isCutOff() &&
      this.#takenCount < TAKEN_MAX;
    if (!isTaken) return refuse(res, 503);
    this.#takenCount += 1;
    res.once("close", () => (this.#takenCount -= 1));
    req.rawHeaders = withoutSender(req.rawHeaders);
    serve(req, res);
  }
}

/** Refuses a request without a part of it having been looked at. */
function refuse(res: ServerResponse, status: number): void {
  res.writeHead(status, {
    [NOT_TAKEN_HEADER]: "1",
    "content-length": "0",
    connection: "close",
  });
  res.end();
}

function withoutSender(rawHeaders: readonly string[]): string[] {
  const kept: string[] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const [name = "", value = ""] = rawHeaders.slice(i, i + 2);
    if (name.toLowerCase() !== SENDER_HEADER) kept.push(name, value);
  }
  return kept;
}
