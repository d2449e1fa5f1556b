/** Reads the JSON lines of peers within limits: anybody who reaches the listener
 * may send bytes without end.
 *
 * @module
 */
import type { Socket } from "node:net";
import { ByteCollector } from "@banyanlb/serving";
import type { PeerMessage } from "./peer_messages.ts";

/** Maximum size of a message, in bytes: the size of a full list of engines for
 * the planned fleet. */
const MESSAGE_MAX_BYTES = 8 * 1024 * 1024;

/** Maximum size of the first message of a connection, in bytes. It names its
 * sender only. */
const FIRST_MESSAGE_MAX_BYTES = 64 * 1024;

/** Maximum size of the messages that are not complete yet, of all connections
 * together, in bytes. */
const INCOMPLETE_MAX_BYTES = 24 * 1024 * 1024;

const LINE_END = 0x0a;

/** Callbacks of a reader. */
export interface MessageReaderOptions {
  readonly onMessage: (message: PeerMessage) => void;
  /** Called when a message could not be parsed or processed, or is too large.
   * The connection is closed. */
  readonly onInvalidMessage: (reason: string) => void;
  /** Called for each message with its size. */
  readonly onReceived?:
    | ((type: PeerMessage["t"], bytes: number) => void)
    | undefined;
  /** Whether the other side has not said yet who it is. */
  readonly isSenderUnknown: () => boolean;
}

/** The messages of all connections that are not complete yet. */
export class IncompleteMessages {
  readonly #readers = new Set<MessageReader>();
  #sizeBytes = 0;

  /** Starts to read the messages of a connection.
   *
   * @example
   * ```ts
   * incomplete.read(socket, { onMessage, onInvalidMessage, isSenderUnknown });
   * ```
   */
  read(socket: Socket, options: MessageReaderOptions): void {
    const reader = new MessageReader(socket, options);
    this.#readers.add(reader);
    socket.on("data", (chunk: Buffer) => {
      const before = reader.sizeBytes;
      reader.push(chunk);
      this.#sizeBytes += reader.sizeBytes - before;
      if (this.#sizeBytes > INCOMPLETE_MAX_BYTES) this.#closeLargest();
    });
    socket.once("close", () => {
      this.#readers.delete(reader);
      this.#sizeBytes -= reader.sizeBytes;
      reader.clear();
    });
  }

  /** Makes room at the expense of the connection that has taken the most. */
  #closeLargest(): void {
    let largest: MessageReader | undefined;
    for (const reader of this.#readers) {
      if (reader.sizeBytes > (largest?.sizeBytes ?? 0)) largest = reader;
    }
    if (largest === undefined) return;
    this.#sizeBytes -= largest.sizeBytes;
    largest.reject("too many bytes of incomplete messages");
  }
}

/** Reads the messages of one connection. */
class MessageReader {
  readonly #socket: Socket;
  readonly #options: MessageReaderOptions;
  readonly #incomplete = new ByteCollector();

  constructor(socket: Socket, options: MessageReaderOptions) {
    this.#socket = socket;
    this.#options = options;
  }

  /** Size of the message that is not complete yet. */
  get sizeBytes(): number {
    return this.#incomplete.sizeBytes;
  }

  /** Reads the messages that a chunk completes. */
  push(chunk: Buffer): void {
    let start = 0;
    while (!this.#socket.destroyed) {
      const end = chunk.indexOf(LINE_END, start);
      this.#keep(chunk.subarray(start, end < 0 ? undefined : end));
      if (end < 0 || this.#socket.destroyed) return;
      const line = this.#incomplete.concat().toString("utf8");
      this.clear();
      this.#process(line);
      start = end + 1;
    }
  }

  /** Closes the connection. */
  reject(reason: string): void {
    this.clear();
    this.#options.onInvalidMessage(reason);
    this.#socket.destroy();
  }

  /** Drops the incomplete message. */
  clear(): void {
    this.#incomplete.clear();
  }

  #keep(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.#incomplete.push(bytes);
    const maxBytes = this.#options.isSenderUnknown()
      ? FIRST_MESSAGE_MAX_BYTES
      : MESSAGE_MAX_BYTES;
    if (this.sizeBytes > maxBytes) {
      this.reject(`a message is longer than ${maxBytes} bytes`);
    }
  }

  #process(line: string): void {
    try {
      const message = JSON.parse(line) as PeerMessage;
      this.#options.onReceived?.(message.t, line.length);
      this.#options.onMessage(message);
    } catch (err) {
      this.reject(String(err));
    }
  }
}
