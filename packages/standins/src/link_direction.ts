/** One direction of a proxied connection.
 *
 * @module
 */
import type { Socket } from "node:net";
import { MAX_QUEUE_BYTES } from "./constants.ts";
import type { Endpoint, NetworkPolicy } from "./network_policy.ts";
import { monotonicMs } from "./timestamp.ts";

/** Items due within this time are delivered immediately, without a timer. */
const MIN_WAIT_MS = 0.2;

/** Data or a state change of the connection that waits to be delivered. */
type QueuedItem =
  | {
    readonly type: "data";
    readonly chunk: Buffer;
    readonly due_ms: number;
  }
  | { readonly type: "end" | "reset"; readonly due_ms: number };

/** Endpoints and sockets of one direction. */
export interface DirectionOptions {
  readonly from: Endpoint;
  readonly to: Endpoint;
  readonly policy: NetworkPolicy;
  /** Socket that data is read from. */
  readonly source: Socket;
  /** Socket that data is written to. */
  readonly sink: Socket;
  readonly on_bytes: (bytes: number) => void;
}

/** Forwards data in order, each chunk after its delay, and holds all data while
 * the direction is cut. */
export class LinkDirection {
  readonly #options: DirectionOptions;
  readonly #queue: QueuedItem[] = [];
  #queued_bytes = 0;
  #timer: NodeJS.Timeout | undefined;
  #is_blocked = false;
  #is_closed = false;

  constructor(options: DirectionOptions) {
    this.#options = options;
    const { source, sink } = options;
    source.on("data", (chunk: Buffer) => this.#receive(chunk));
    source.on(
      "end",
      () => this.#enqueue({ type: "end", due_ms: this.#dueMs(0) }),
    );
    source.on("error", () => {});
    source.on("close", (hadError) => {
      if (hadError) this.#enqueue({ type: "reset", due_ms: this.#dueMs(0) });
    });
    sink.on("drain", () => {
      this.#is_blocked = false;
      this.deliverDueItems();
    });
  }

  /** Delivers the items that are due, and schedules the next one. */
  deliverDueItems(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    const { from, to, policy } = this.#options;
    while (!this.#is_closed && !this.#is_blocked) {
      const item = this.#queue[0];
      if (item === undefined || policy.isCut(from, to)) return;
      const wait_ms = item.due_ms - monotonicMs();
      if (wait_ms > MIN_WAIT_MS) {
        this.#timer = setTimeout(() => this.deliverDueItems(), wait_ms);
        return;
      }
      this.#queue.shift();
      this.#deliver(item);
    }
  }

  /** Stops forwarding and drops the queued items. */
  close(): void {
    this.#is_closed = true;
    clearTimeout(this.#timer);
    this.#queue.length = 0;
  }

  #receive(chunk: Buffer): void {
    this.#options.on_bytes(chunk.length);
    this.#queued_bytes += chunk.length;
    if (this.#queued_bytes > MAX_QUEUE_BYTES) this.#options.source.pause();
    this.#enqueue({
      type: "data",
      chunk,
      due_ms: this.#dueMs(chunk.length),
    });
  }

  #dueMs(bytes: number): number {
    const { from, to, policy } = this.#options;
    return policy.reserveSendEndMs({ from, to }, bytes) +
      policy.delayMs(from, to);
  }

  #enqueue(item: QueuedItem): void {
    if (this.#is_closed) return;
    this.#queue.push(item);
    if (this.#timer === undefined) this.deliverDueItems();
  }

  #deliver(item: QueuedItem): void {
    const { sink } = this.#options;
    if (item.type === "reset") sink.resetAndDestroy();
    if (item.type === "end") sink.end();
    if (item.type === "data") this.#write(sink, item.chunk);
  }

  #write(sink: Socket, chunk: Buffer): void {
    this.#queued_bytes -= chunk.length;
    if (this.#queued_bytes <= MAX_QUEUE_BYTES) this.#options.source.resume();
    if (!sink.destroyed) this.#is_blocked = !sink.write(chunk);
  }
}
