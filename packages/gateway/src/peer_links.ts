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
const REDIAL_MS = 300;

/** Time allowed for a connection to be made, in milliseconds. */
const DIAL_TIMEOUT_MS = 800;

/** A peer that received no digest for this long does not get them: the
 * connection is dead, although it was not closed. To this come the two pauses
 * between digests and their acknowledgements. */
const UNACKNOWLEDGED_MS = 1100;

/** Unsent bytes beyond which a connection counts as stuck. */
const STUCK_BYTES = 1024 * 1024;

/** A longest message: a full list of engines at the planned size. */
const LINE_MAX_BYTES = 8 * 1024 * 1024;

/** Sends one message back. */
export type Respond = (message: PeerMessage) => void;

/** What the links tell. */
export interface PeerLinksOptions {
  /** Called for each message with the name of its sender. */
  readonly onMessage: (
    from: string,
    message: PeerMessage,
    respond: Respond,
  ) => void;
  /** Called when a message could not be read or taken in. Its connection is
   * closed and dialled again. */
  readonly onBroken: (reason: string) => void;
}

interface Waiting {
  readonly resolve: (reply: PeerMessage | undefined) => void;
  readonly timer: NodeJS.Timeout;
}

/** The connection that this instance dials to one peer. */
class PeerLink {
  readonly address: string;
  readonly #hello: PeerMessage;
  readonly #onBroken: (reason: string) => void;
  readonly #waiting = new Map<number, Waiting>();
  #socket: Socket | undefined;
  #nextNumber = 1;
  #dialAfter = 0;
  #closed = false;
  /** When something was sent that the peer is known to have received, or when
   * the link was made. */
  provenAt = 0;
  /** Time between digests on this link, in milliseconds. */
  digestMs = 0;

  constructor(
    address: string,
    hello: PeerMessage,
    onBroken: (reason: string) => void,
  ) {
    this.address = address;
    this.#hello = hello;
    this.#onBroken = onBroken;
  }

  send(message: PeerMessage): boolean {
    const socket = this.#connected();
    if (socket === undefined) return false;
    socket.write(`${JSON.stringify(message)}\n`);
    return true;
  }

  ask(
    build: (n: number) => PeerMessage,
    timeoutMs: number,
  ): Promise<PeerMessage | undefined> {
    const n = this.#nextNumber++;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#waiting.delete(n);
        resolve(undefined);
      }, timeoutMs);
      this.#waiting.set(n, { resolve, timer });
      if (!this.send(build(n))) this.#settle(n, undefined);
    });
  }

  close(): void {
    this.#closed = true;
    this.#socket?.destroy();
    for (const n of [...this.#waiting.keys()]) this.#settle(n, undefined);
  }

  #settle(n: number, reply: PeerMessage | undefined): void {
    const waiting = this.#waiting.get(n);
    if (waiting === undefined) return;
    this.#waiting.delete(n);
    clearTimeout(waiting.timer);
    waiting.resolve(reply);
  }

  #connected(): Socket | undefined {
    const now = performance.now();
    const socket = this.#socket;
    if (socket !== undefined) {
      const dead = socket.destroyed || socket.writableLength > STUCK_BYTES ||
        now - this.provenAt > UNACKNOWLEDGED_MS + 2 * this.digestMs;
      if (!dead) return socket;
      socket.destroy();
      this.#socket = undefined;
    }
    if (this.#closed || now < this.#dialAfter) return undefined;
    return this.#dial(now);
  }

  #dial(now: number): Socket | undefined {
    const [host = "", port = ""] = this.address.split(":");
    const socket = new Socket();
    this.#socket = socket;
    this.#dialAfter = now + REDIAL_MS;
    this.provenAt = now;
    const timer = setTimeout(() => socket.destroy(), DIAL_TIMEOUT_MS);
    socket.once("connect", () => clearTimeout(timer));
    // The close event follows and says all that matters here.
    socket.on("error", () => undefined);
    socket.on("close", () => {
      clearTimeout(timer);
      if (this.#socket === socket) this.#socket = undefined;
      for (const n of [...this.#waiting.keys()]) this.#settle(n, undefined);
    });
    readLines(socket, (message) => {
      this.provenAt = performance.now();
      if ("n" in message) this.#settle(message.n, message);
    }, this.#onBroken);
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
  readonly #accepted = new Set<Socket>();
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
  send(address: string, message: PeerMessage, digestMs?: number): boolean {
    const link = this.#link(address);
    if (digestMs !== undefined) link.digestMs = digestMs;
    return link.send(message);
  }

  /** Asks the peer at this address; undefined if no answer came in time. */
  ask(
    address: string,
    build: (n: number) => PeerMessage,
    timeoutMs: number,
  ): Promise<PeerMessage | undefined> {
    return this.#link(address).ask(build, timeoutMs);
  }

  /** The peer at this address has received what was sent at `sentAt`. */
  prove(address: string, sentAt: number): void {
    const link = this.#link(address);
    link.provenAt = Math.max(link.provenAt, sentAt);
  }

  /** Ends connections to addresses that are not among `addresses`. */
  keepOnly(addresses: ReadonlySet<string>): void {
    for (const [address, link] of this.#links) {
      if (addresses.has(address)) continue;
      link.close();
      this.#links.delete(address);
    }
  }

  /** Ends all connections. */
  close(): void {
    this.keepOnly(new Set());
    this.#server.close();
    for (const socket of this.#accepted) socket.destroy();
  }

  #link(address: string): PeerLink {
    let link = this.#links.get(address);
    if (link === undefined) {
      const hello: PeerMessage = { t: "hello", member: this.#self };
      link = new PeerLink(address, hello, this.#options.onBroken);
      this.#links.set(address, link);
    }
    return link;
  }

  #accept(socket: Socket): void {
    this.#accepted.add(socket);
    socket.setNoDelay(true);
    // The close event follows and says all that matters here.
    socket.on("error", () => undefined);
    socket.on("close", () => this.#accepted.delete(socket));
    let from: string | undefined;
    const respond = (message: PeerMessage) => {
      if (!socket.destroyed) socket.write(`${JSON.stringify(message)}\n`);
    };
    readLines(socket, (message) => {
      if (message.t === "hello") from = message.member.name;
      if (from === undefined) socket.destroy();
      else this.#options.onMessage(from, message, respond);
    }, this.#options.onBroken);
  }
}

function readLines(
  socket: Socket,
  onLine: (message: PeerMessage) => void,
  onBroken: (reason: string) => void,
): void {
  let rest = "";
  socket.setEncoding("utf8");
  socket.on("data", (chunk: string) => {
    const lines = (rest + chunk).split("\n");
    rest = lines.pop() ?? "";
    if (rest.length > LINE_MAX_BYTES) {
      onBroken(`a message is longer than ${LINE_MAX_BYTES} bytes`);
      socket.destroy();
      return;
    }
    for (const line of lines) {
      try {
        onLine(JSON.parse(line) as PeerMessage);
      } catch (err) {
        onBroken(String(err));
        socket.destroy();
        return;
      }
    }
  });
}
