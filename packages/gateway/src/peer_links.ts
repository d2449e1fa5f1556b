/** Connections between instances: JSON lines over TCP.
 *
 * Each instance dials every peer and sends its requests and digests on that
 * connection; replies arrive on the same connection.
 *
 * @module
 */
import { createServer, type Server, Socket } from "node:net";
import { type ListenAddress, parseAddress } from "@banyanlb/platform";
import type { Member } from "@banyanlb/serving";
import { decodeMember } from "./membership_entries.ts";
import { IncompleteMessages } from "./message_reader.ts";
import { bindServer } from "./open_listener.ts";
import type { PeerMessage } from "./peer_messages.ts";

/** Minimum time from one dial of a peer to the next, in milliseconds. */
const REDIAL_PAUSE_MS = 300;

/** Timeout of a dial, in milliseconds. */
const DIAL_TIMEOUT_MS = 800;

/** Time without a confirmed delivery after which a connection counts as dead,
 * although it was not closed, in milliseconds. Two digest intervals are added
 * to it: one until the next digest, and one until its acknowledgement. */
const ACK_TIMEOUT_MS = 1100;

/** First byte of a message, `{`. */
const MESSAGE_START = 0x7b;

/** Number of unsent bytes above which a connection counts as dead. */
const UNSENT_MAX_BYTES = 1024 * 1024;

/** Sends a message on the connection on which a request arrived. */
export type SendReply = (message: PeerMessage) => void;

/** Callbacks of the links. */
export interface PeerLinksOptions {
  /** Called for each message, with the name of its sender. */
  readonly onMessage: (
    from: string,
    message: PeerMessage,
    sendReply: SendReply,
  ) => void;
  /** Called with a connection that carries requests of callers, which other
   * instances pass on. */
  readonly onRequests?: (socket: Socket) => void;
  /** Called when a message could not be parsed or processed. The connection is
   * closed, and the side that dialled it dials again. */
  readonly onInvalidMessage: (reason: string) => void;
  /** Called for each message with its size, also for replies. `sender` is its
   * name; for replies, its address. */
  readonly onReceived?: (
    type: PeerMessage["t"],
    bytes: number,
    sender: string,
  ) => void;
}

interface PendingRequest {
  /** The connection on which it was sent, and on which its reply arrives. */
  readonly socket: Socket;
  readonly resolve: (reply: PeerMessage | undefined) => void;
  readonly timer: NodeJS.Timeout;
}

interface LinkOptions extends PeerLinksOptions {
  /** A number that no connection had before. */
  readonly nextConnection: () => number;
  readonly incomplete: IncompleteMessages;
}

/** The connection that this instance dials to one peer. */
class PeerLink {
  readonly address: string;
  readonly #hello: PeerMessage;
  readonly #options: LinkOptions;
  /** Requests that wait for a reply, by their number. */
  readonly #requests = new Map<number, PendingRequest>();
  #socket: Socket | undefined;
  #nextRequestNumber = 1;
  #nextDialAt = 0;
  #isClosed = false;
  /** The latest time at which the connection is known to have worked: when a
   * message was sent that the peer has received, when a message arrived, or
   * when the peer was dialled. */
  lastAliveAt = 0;
  /** Maximum time between digests on this link, in milliseconds. */
  digestIntervalMs = 0;
  /** Number of the present connection; each one has its own. */
  connection = 0;
  /** When the link was last used, by the monotonic clock. */
  usedAt = 0;

  constructor(
    address: string,
    hello: PeerMessage,
    options: LinkOptions,
  ) {
    this.address = address;
    this.#hello = hello;
    this.#options = options;
  }

  /** Dials if there is no usable connection; returns whether there is one
   * then. */
  connect(): boolean {
    return this.#usableSocket() !== undefined;
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
    const socket = this.#usableSocket();
    if (socket === undefined) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.#resolve(n, undefined), timeoutMs);
      this.#requests.set(n, { socket, resolve, timer });
      socket.write(`${JSON.stringify(buildRequest(n))}\n`);
    });
  }

  close(): void {
    this.#isClosed = true;
    this.#socket?.destroy();
    for (const { socket } of [...this.#requests.values()]) {
      this.#endRequests(socket);
      socket.destroy();
    }
  }

  #resolve(n: number, reply: PeerMessage | undefined): void {
    const pending = this.#requests.get(n);
    if (pending === undefined) return;
    this.#requests.delete(n);
    clearTimeout(pending.timer);
    pending.resolve(reply);
    this.#closeReplaced(pending.socket);
  }

  /** Ends what waits for replies on a connection. */
  #endRequests(socket: Socket): void {
    for (const [n, pending] of [...this.#requests]) {
      if (pending.socket === socket) this.#resolve(n, undefined);
    }
  }

  /** Closes a connection that was replaced and on which nothing waits. */
  #closeReplaced(socket: Socket): void {
    const isAwaited = [...this.#requests.values()]
      .some((pending) => pending.socket === socket);
    if (socket !== this.#socket && !isAwaited) socket.destroy();
  }

  #usableSocket(): Socket | undefined {
    const now = performance.now();
    this.usedAt = now;
    const socket = this.#socket;
    if (socket !== undefined) {
      const isFull = socket.writableLength > UNSENT_MAX_BYTES;
      const isDead = socket.destroyed || isFull ||
        now - this.lastAliveAt > ACK_TIMEOUT_MS + 2 * this.digestIntervalMs;
      if (!isDead) return socket;
      this.#socket = undefined;
      // It may have been quiet because nothing was due.
      if (isFull) socket.destroy();
      else this.#closeReplaced(socket);
    }
    if (this.#isClosed || now < this.#nextDialAt) return undefined;
    return this.#dial(now);
  }

  #dial(now: number): Socket | undefined {
    const address = parseAddress(this.address);
    // Node throws at once for a port out of range.
    if (address === undefined) return undefined;
    const socket = new Socket();
    this.#socket = socket;
    this.connection = this.#options.nextConnection();
    this.#nextDialAt = now + REDIAL_PAUSE_MS;
    this.lastAliveAt = now;
    const timer = setTimeout(() => socket.destroy(), DIAL_TIMEOUT_MS);
    socket.once("connect", () => clearTimeout(timer));
    // The close event, which always follows, does the cleanup.
    socket.on("error", () => undefined);
    socket.on("close", () => {
      clearTimeout(timer);
      if (this.#socket === socket) this.#socket = undefined;
      this.#endRequests(socket);
    });
    this.#options.incomplete.read(socket, {
      ...this.#options,
      isSenderUnknown: () => false,
      onReceived: (type, bytes) =>
        this.#options.onReceived?.(type, bytes, this.address),
      onMessage: (message) => {
        this.lastAliveAt = performance.now();
        if ("n" in message) this.#resolve(message.n, message);
      },
    });
    socket.setNoDelay(true);
    socket.connect(address.port, address.host);
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
  readonly #incomplete = new IncompleteMessages();
  readonly #server: Server;
  #connectionCount = 0;

  constructor(self: Member, options: PeerLinksOptions) {
    this.#self = self;
    this.#options = options;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Starts to accept connections. */
  listen(address: ListenAddress): Promise<void> {
    return bindServer(this.#server, address);
  }

  /** Sends a message to the peer at this address; returns false if there is no
   * usable connection. */
  send(address: string, message: PeerMessage): boolean {
    return this.#link(address).send(message);
  }

  /** The number of the connection on which the next message to this address will
   * be sent, which differs from that of each one before; undefined if there is
   * none. `intervalMs` is the maximum time until the next digest. */
  connect(address: string, intervalMs: number): number | undefined {
    const link = this.#link(address);
    link.digestIntervalMs = intervalMs;
    return link.connect() ? link.connection : undefined;
  }

  /** Sends a request to the peer at this address and resolves to its reply, or
   * to undefined if none arrives in time. `buildRequest` receives the number
   * that the reply repeats. */
  ask(
    address: string,
    buildRequest: (n: number) => PeerMessage,
    timeoutMs: number,
  ): Promise<PeerMessage | undefined> {
    return this.#link(address).ask(buildRequest, timeoutMs);
  }

  /** Records that the peer at this address has received a message that was sent
   * at `sentAt`. */
  confirmDelivery(address: string, sentAt: number): void {
    const link = this.#link(address);
    link.lastAliveAt = Math.max(link.lastAliveAt, sentAt);
  }

  /** Closes the connections that were not used since `time`. */
  closeIdle(time: number): void {
    for (const [address, link] of this.#links) {
      if (link.usedAt >= time) continue;
      link.close();
      this.#links.delete(address);
    }
  }

  /** Closes the listener and all connections. */
  close(): void {
    this.closeIdle(Infinity);
    this.#server.close();
    for (const socket of this.#acceptedSockets) socket.destroy();
  }

  #link(address: string): PeerLink {
    let link = this.#links.get(address);
    if (link === undefined) {
      const hello: PeerMessage = { t: "hello", member: this.#self };
      link = new PeerLink(address, hello, {
        ...this.#options,
        incomplete: this.#incomplete,
        nextConnection: () => {
          this.#connectionCount += 1;
          return this.#connectionCount;
        },
      });
      this.#links.set(address, link);
    }
    return link;
  }

  #accept(socket: Socket): void {
    this.#acceptedSockets.add(socket);
    socket.setNoDelay(true);
    // The close event, which always follows, does the cleanup.
    socket.on("error", () => undefined);
    socket.on("close", () => this.#acceptedSockets.delete(socket));
    // Messages are JSON objects; requests begin with a method.
    socket.once("data", (chunk: Buffer) => {
      socket.pause();
      socket.unshift(chunk);
      const { onRequests } = this.#options;
      if (chunk[0] === MESSAGE_START || onRequests === undefined) {
        this.#readMessages(socket);
      } else onRequests(socket);
      socket.resume();
    });
  }

  #readMessages(socket: Socket): void {
    let from: string | undefined;
    const sendReply = (message: PeerMessage) => {
      // A peer that does not read its replies must not exhaust the memory.
      if (socket.writableLength > UNSENT_MAX_BYTES) socket.destroy();
      if (!socket.destroyed) socket.write(`${JSON.stringify(message)}\n`);
    };
    this.#incomplete.read(socket, {
      ...this.#options,
      isSenderUnknown: () => from === undefined,
      onReceived: (type, bytes) =>
        this.#options.onReceived?.(type, bytes, from ?? ""),
      onMessage: (message) => {
        if (message.t === "hello") {
          const member = decodeMember(message.member);
          if (member === undefined) throw new Error("hello without a member");
          from = member.name;
        }
        if (from === undefined) socket.destroy();
        else this.#options.onMessage(from, message, sendReply);
      },
    });
  }
}
