/** A persistent WebSocket connection to a peer, with trpc's message envelope.
 *
 * trpc's `wsLink` sends from a timer, which adds over a millisecond to each
 * call, and repeats calls after a reconnect. This link sends immediately and
 * never repeats a call, since only the calling code knows whether a repeat is
 * safe.
 *
 * @module
 */
import { TRPCClientError, type TRPCLink } from "@trpc/client";
import type { AnyRouter } from "@trpc/server";
import { observable } from "@trpc/server/observable";
import { type RawData, WebSocket } from "ws";
import {
  PEER_CONNECT_TIMEOUT_MS,
  PEER_MESSAGE_MAX_BYTES,
  PEER_RECONNECT_MIN_MS,
} from "./constants.ts";

/** Options of a connection to a peer. */
export interface PeerConnectionOptions {
  readonly url: string;
  readonly token: string;
  /** Local address to which the socket is bound. */
  readonly source_address?: string;
}

interface PendingCall {
  readonly resolve: (data: unknown) => void;
  readonly reject: (err: Error) => void;
}

interface PeerCall {
  readonly type: string;
  readonly path: string;
  readonly input: unknown;
  readonly signal: AbortSignal | null | undefined;
}

interface ReplyEnvelope {
  readonly id: number | null;
  readonly result?: { readonly data?: unknown };
  readonly error?: { readonly message?: string };
}

/** Thrown if a peer could not be reached or did not reply in time. */
export class PeerUnreachableError extends Error {
  constructor(message: string) {
    super(`${message}; check that the peer runs and its peer_url is right`);
    this.name = "PeerUnreachableError";
  }
}

/** A persistent connection to one peer. Connects on the first call, and
 * reconnects on the next call after the connection is lost. Calls that are
 * waiting for a reply fail when the connection is lost. */
export class PeerConnection {
  readonly #options: PeerConnectionOptions;
  readonly #pending = new Map<number, PendingCall>();
  #socket: WebSocket | undefined;
  #connecting: Promise<WebSocket> | undefined;
  #next_id = 1;
  #next_attempt_at = 0;
  #last_received_at = 0;
  #is_closed = false;

  constructor(options: PeerConnectionOptions) {
    this.#options = options;
  }

  /** Sends one call and resolves with the peer's reply. */
  async call(call: PeerCall): Promise<unknown> {
    const socket = this.#socket ?? await this.#open();
    call.signal?.throwIfAborted();
    const id = this.#next_id++;
    const sent_at = performance.now();
    return await new Promise((resolve, reject) => {
      const onAbort = () => {
        this.#pending.delete(id);
        this.#closeIfUnresponsiveSince(sent_at);
        reject(new PeerUnreachableError("peer did not reply in time"));
      };
      call.signal?.addEventListener("abort", onAbort, { once: true });
      const removeAbortListener = () =>
        call.signal?.removeEventListener("abort", onAbort);
      this.#pending.set(id, {
        resolve: (data) => {
          removeAbortListener();
          resolve(data);
        },
        reject: (err) => {
          removeAbortListener();
          reject(err);
        },
      });
      const { type: method, path, input } = call;
      socket.send(JSON.stringify({ id, method, params: { path, input } }));
    });
  }

  /** Closes the connection. Calls that are waiting for a reply fail. */
  close(): void {
    this.#is_closed = true;
    this.#socket?.terminate();
  }

  // A connection whose packets are dropped by the network reports no error. If
  // nothing was received since `sent_at`, close it: a new one may succeed.
  #closeIfUnresponsiveSince(sent_at: number): void {
    if (this.#last_received_at < sent_at) this.#socket?.terminate();
  }

  #open(): Promise<WebSocket> {
    if (this.#is_closed) {
      return Promise.reject(new PeerUnreachableError("connection is closed"));
    }
    if (this.#connecting !== undefined) return this.#connecting;
    const now = performance.now();
    if (now < this.#next_attempt_at) {
      return Promise.reject(
        new PeerUnreachableError("last connection attempt was too recent"),
      );
    }
    this.#next_attempt_at = now + PEER_RECONNECT_MIN_MS;
    this.#connecting = this.#connect().finally(() => {
      this.#connecting = undefined;
    });
    return this.#connecting;
  }

  #connect(): Promise<WebSocket> {
    const { url, source_address, token } = this.#options;
    const socket = new WebSocket(`${url}/?connectionParams=1`, {
      handshakeTimeout: PEER_CONNECT_TIMEOUT_MS,
      perMessageDeflate: false,
      maxPayload: PEER_MESSAGE_MAX_BYTES,
      ...(source_address === undefined ? {} : { localAddress: source_address }),
    });
    return new Promise((resolve, reject) => {
      socket.on("open", () => {
        const data = { token };
        socket.send(JSON.stringify({ method: "connectionParams", data }));
        this.#socket = socket;
        resolve(socket);
      });
      socket.on("message", (data) => this.#receive(data));
      socket.on("error", (err) => {
        reject(new PeerUnreachableError(err.message));
      });
      socket.on("close", () => {
        this.#onSocketClosed(socket);
        reject(new PeerUnreachableError("connection was closed"));
      });
    });
  }

  #onSocketClosed(socket: WebSocket): void {
    if (this.#socket !== socket) return;
    this.#socket = undefined;
    const failed_calls = [...this.#pending.values()];
    this.#pending.clear();
    for (const call of failed_calls) {
      call.reject(new PeerUnreachableError("connection was lost"));
    }
  }

  #receive(data: RawData): void {
    this.#last_received_at = performance.now();
    const text = data.toString();
    // trpc's keep-alive messages are plain text, not JSON.
    if (text === "PING") {
      this.#socket?.send("PONG");
      return;
    }
    if (text === "PONG") return;
    const parsed = JSON.parse(text) as ReplyEnvelope | readonly ReplyEnvelope[];
    const replies = Array.isArray(parsed) ? parsed : [parsed];
    for (const reply of replies as readonly ReplyEnvelope[]) {
      this.#settleCall(reply);
    }
  }

  #settleCall(reply: ReplyEnvelope): void {
    if (reply.id === null) return;
    const call = this.#pending.get(reply.id);
    if (call === undefined) return;
    this.#pending.delete(reply.id);
    if (reply.error === undefined) {
      call.resolve(reply.result?.data);
      return;
    }
    call.reject(new Error(reply.error.message ?? "peer reported an error"));
  }
}

/** Creates a trpc link over one connection. Supports queries and mutations, not
 * subscriptions.
 *
 * @example
 * ```ts
 * const connection = new PeerConnection({ url: "ws://127.0.0.1:9000", token });
 * const client = createTRPCClient<PeerRouter>({
 *   links: [createPeerLink(connection)],
 * });
 * ```
 */
export function createPeerLink<T extends AnyRouter>(
  connection: PeerConnection,
): TRPCLink<T> {
  return () => ({ op }) =>
    observable((observer) => {
      connection.call(op).then((data) => {
        observer.next({ result: { type: "data", data } });
        observer.complete();
      }, (cause) => observer.error(TRPCClientError.from(cause)));
    });
}
