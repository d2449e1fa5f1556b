/** Splits a stream of server-sent events into complete events, so that a stream
 * can be resumed at another engine after the last event sent to the caller.
 *
 * @module
 */

import { ByteCollector } from "./byte_collector.ts";

const NEWLINE = 0x0a;
const NO_BYTES = Buffer.alloc(0);

/** Complete events that may be sent to the caller. */
export interface FramedEvents {
  readonly bytes: Buffer;
  /** The id of the last event in `bytes`; undefined if none has one. */
  readonly lastId: string | undefined;
}

/** Number of bytes before a chunk that may belong to a blank line which the
 * chunk completes. */
const LOOK_BEHIND_BYTES = 3;

/** Buffers the incomplete event at the end of the stream. */
export class EventFramer {
  /** The incomplete event, which may come in very many chunks. */
  readonly #incomplete = new ByteCollector();
  /** The last bytes of the incomplete event. */
  #lastBytes: Buffer = NO_BYTES;

  /** Size of the incomplete event, in bytes. */
  get pendingBytes(): number {
    return this.#incomplete.sizeBytes;
  }

  /** Adds a chunk and returns the events that it completes.
   *
   * @example
   * ```ts
   * framer.push(Buffer.from("id: 1\ndata: a\n\nid: 2\n")).lastId; // "1"
   * ```
   */
  push(chunk: Buffer): FramedEvents {
    const recent = this.#lastBytes.length === 0
      ? chunk
      : Buffer.concat([this.#lastBytes, chunk]);
    this.#incomplete.push(chunk);
    this.#lastBytes = recent.subarray(-LOOK_BEHIND_BYTES);
    const endInRecent = endOfEvents(recent);
    if (endInRecent === 0) return { bytes: NO_BYTES, lastId: undefined };
    const all = this.#incomplete.concat();
    const end = all.length - (recent.length - endInRecent);
    const rest = all.subarray(end);
    this.reset();
    if (rest.length > 0) {
      this.#incomplete.push(rest);
      this.#lastBytes = rest.subarray(-LOOK_BEHIND_BYTES);
    }
    const bytes = all.subarray(0, end);
    return { bytes, lastId: lastIdOf(bytes) };
  }

  /** Drops the incomplete event, because its engine ended the stream early. */
  reset(): void {
    this.#incomplete.clear();
    this.#lastBytes = NO_BYTES;
  }
}

/** The position after the last blank line. */
function endOfEvents(bytes: Buffer): number {
  for (let i = bytes.length - 1; i > 0; i -= 1) {
    if (bytes[i] !== NEWLINE) continue;
    if (bytes[i - 1] === NEWLINE) return i + 1;
    if (i > 2 && bytes[i - 1] === 0x0d && bytes[i - 2] === NEWLINE) {
      return i + 1;
    }
  }
  return 0;
}

function lastIdOf(bytes: Buffer): string | undefined {
  const matches = [...bytes.toString("latin1").matchAll(/^id: ?([^\r\n]*)/gm)];
  return matches.at(-1)?.[1];
}
