/** Connections between instances: JSON lines over TCP.
 *
 * Each instance dials every other one and sends its messages there; answers
 * come back on the same connection.
 *
 * @module
 */
import { createServer, type Server, Socket } from "node:net";
import type { Member } from "@banyanlb/serving";
import type { PeerMessage } from "./peer_messages.ts";

/** Pause before a peer is dialled again, in milliseconds. */
const REDIAL_PAUSE_MS = 300;

/** Time allowed for a connection to be made, in milliseconds. */
const DIAL_TIMEOUT_MS = 800;

/** A peer that received no digest for this long does not get them: the
 * connection is dead, although it was not closed. To this come the two pauses
 * between digests and their acknowledgements. */
const ACK_TIMEOUT_MS = 1100;

/** Unsent bytes beyond which a connection counts as stuck. */
const UNSENT_MAX_BYTES = 1024 * 1024;

/** A longest message: a full list of engines at the planned size. */
const LINE_MAX_BYTES = 8 * 1024 * 1024;

/** Sends one message back. */
export type SendReply = (message: PeerMessage) => void;

/** What the links tell. */
export interface PeerLinksOptions {
  /** Called for each message with the name of its sender. */
  readonly onMessage: (
    from: string,
    message: PeerMessage,
    sendReply: SendReply,
  ) => void;
  /** Called when a message could not be read or taken in. Its connection is
   * closed and dialled again. */
  readonly onInvalidMessage: (reason: string) => void;
}

interface PendingRequest {
  readonly resolve: (reply: PeerMessage | undefined) => void;
  readonly timer: NodeJS.Timeout;
}

/** The connection that this instance dials to one peer. */
class PeerLink {
  readonly address: string;
  readonly #hello: PeerMessage;
  readonly #onInvalidMessage: (reason: string) => void;
  readonly #requests = new Map<number, PendingRequest>();
  #socket: Socket | undefined;
  #nextRequestNumber = 1;
  #nextDialAt = 0;
  #isClosed = false;
  /** When something was sent that the peer is known to have received, or when
   * the link was made. */
  lastAliveAt = 0;
  /** Time between digests on this link, in milliseconds. */
  digestIntervalMs = 0;

  constructor(
    address: string,
    hello: PeerMessage,
    onInvalidMessage: (reason: string) => void,
  ) {
    this.address = address;
    this.#hello = hello;
    this.#onInvalidMessage = onInvalidMessage;
  }

  send(message: PeerMessage): boolean {
    const socket = this.#usableSocket();
    if (socket === undefined) return false;
    socket.write(`${JSON.stringify(message)}\n`);
    return true;
  }

  ask(
    buildRequest: (n: number) => PeerMessage,
    timeoutMs: number,
  ): Promise<PeerMessage | undefined> {
    const n = this.#nextRequestNumber++;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#requests.delete(n);
        resolve(undefined);
      }, timeoutMs);
      this.#requests.set(n, { resolve, timer });
      if (!this.send(buildRequest(n))) this.#resolve(n, undefined);
    });
  }

  close(): void {
    this.#isClosed = true;
    this.#socket?.destroy();
    for (const n of [...this.#requests.keys()]) this.#resolve(n, undefined);
  }

  #resolve(n: number, reply: PeerMessage | undefined): void {
    const pending = this.#requests.get(n);
    if (pending === undefined) return;
    this.#requests.delete(n);
    clearTimeout(pending.timer);
    pending.resolve(reply);
  }

  #usableSocket(): Socket | undefined {
    const now = performance.now();
    const socket = this.#socket;
    if (socket !== undefined) {
      const isDead = socket.destroyed ||
        socket.writableLength > UNSENT_MAX_BYTES ||
        now - this.lastAliveAt > ACK_TIMEOUT_MS + 2 * this.digestIntervalMs;
      if (!isDead) return socket;
      socket.destroy();
      this.#socket = undefined;
    }
    if (this.#isClosed || now < this.#nextDialAt) return undefined;
    return this.#dial(now);
  }

  #dial(now: number): Socket | undefined {
    const [host = "", port = ""] = this.address.split(":");
    const socket = new Socket();
    this.#socket = socket;
    this.#nextDialAt = now + REDIAL_PAUSE_MS;
    this.lastAliveAt = now;
    const timer = setTimeout(() => socket.destroy(), DIAL_TIMEOUT_MS);
    socket.once("connect", () => clearTimeout(timer));
    // The close event follows and says all that matters here.
    socket.on("error", () => undefined);
    socket.on("close", () => {
      clearTimeout(timer);
      if (this.#socket === socket) this.#socket = undefined;
      for (const n of [...this.#requests.keys()]) this.#resolve(n, undefined);
    });
    readMessages(socket, (message) => {
      this.lastAliveAt = performance.now();
      if ("n" in message) this.#resolve(message.n, message);
    }, this.#onInvalidMessage);
    socket.setNoDelay(true);
    socket.connect(Number(port), host);
    socket.write(`${JSON.stringify(this.#hello)}\n`);
    return socket;
  }
}

/** All connections to and from peers. */
export class PeerLinks {
  readonly #self: Member;
  readonly #options: PeerLinksOptions;
  readonly #links = new Map<string, PeerLink>();
  readonly #acceptedSockets = new Set<Socket>();
  readonly #server: Server;

  constructor(self: Member, options: PeerLinksOptions) {
    this.#self = self;
    this.#options = options;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Starts to accept connections. */
  listen(address: { readonly host: string; readonly port: number }) {
    return new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(address.port, address.host, () => resolve());
    });
  }

  /** Sends a message to the peer at this address; false if it cannot be. The
   * next one follows within `digestMs`, if given. */
  send(address: string, message: PeerMessage, intervalMs?: number): boolean {
    const link = this.#link(address);
    if (intervalMs !== undefined) link.digestIntervalMs = intervalMs;
    return link.send(message);
  }

  /** Asks the peer at this address; undefined if no answer came in time. */
  ask(
    address: string,
    buildRequest: (n: number) => PeerMessage,
    timeoutMs: number,
  ): Promise<PeerMessage | undefined> {
    return this.#link(address).ask(buildRequest, timeoutMs);
  }

  /** The peer at this address has received what was sent at `sentAt`. */
  confirmDelivery(address: string, sentAt: number): void {
    const link = this.#link(address);
    link.lastAliveAt = Math.max(link.lastAliveAt, sentAt);
  }

  /** Ends connections to addresses that are not among `addresses`. */
  closeAllExcept(addresses: ReadonlySet<string>): void {
    for (const [address, link] of this.#links) {
      if (addresses.has(address)) continue;
      link.close();
      this.#links.delete(address);
    }
  }

  /** Ends all connections. */
  close(): void {
    this.closeAllExcept(new Set());
    this.#server.close();
    for (const socket of this.#acceptedSockets) socket.destroy();
  }

  #link(address: string): PeerLink {
    let link = this.#links.get(address);
    if (link === undefined) {
      const hello: PeerMessage = { t: "hello", member: this.#self };
      link = new PeerLink(address, hello, this.#options.onInvalidMessage);
      this.#links.set(address, link);
    }
    return link;
  }

  #accept(socket: Socket): void {
    this.#acceptedSockets.add(socket);
    socket.setNoDelay(true);
    // The close event follows and says all that matters here.
    socket.on("error", () => undefined);
    socket.on("close", () => this.#acceptedSockets.delete(socket));
    let from: string | undefined;
    const sendReply = (message: PeerMessage) => {
      if (!socket.destroyed) socket.write(`${JSON.stringify(message)}\n`);
    };
    readMessages(socket, (message) => {
      if (message.t === "hello") from = message.member.name;
      if (from === undefined) socket.destroy();
      else this.#options.onMessage(from, message, sendReply);
    }, this.#options.onInvalidMessage);
  }
}

function readMessages(
  socket: Socket,
  onMessage: (message: PeerMessage) => void,
  onInvalidMessage: (reason: string) => void,
): void {
  let partialLine = "";
  socket.setEncoding("utf8");
  socket.on("data", (chunk: string) => {
    const lines = (partialLine + chunk).split("\n");
    partialLine = lines.pop() ?? "";
    if (partialLine.length > LINE_MAX_BYTES) {
      onInvalidMessage(`a message is longer than ${LINE_MAX_BYTES} bytes`);
      socket.destroy();
      return;
    }
    for (const line of lines) {
      try {
        onMessage(JSON.parse(line) as PeerMessage);
      } catch (err) {
        onInvalidMessage(String(err));
        socket.destroy();
        return;
      }
    }
  });
}
