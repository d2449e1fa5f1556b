/** Splits a stream of server-sent events into complete events, so that a stream
 * can be resumed at another engine after the last event sent to the caller.
 *
 * @module
 */

const NEWLINE = 0x0a;

/** Complete events that may be sent to the caller. */
export interface FramedEvents {
  readonly bytes: Buffer;
  /** The id of the last event in `bytes`; undefined if none has one. */
  readonly lastId: string | undefined;
}

/** Buffers the incomplete event at the end of the stream. */
export class EventFramer {
  #incomplete: Buffer = Buffer.alloc(0);

  /** Size of the incomplete event, in bytes. */
  get pendingBytes(): number {
    return this.#incomplete.length;
  }

  /** Adds a chunk and returns the events that it completes.
   *
   * @example
   * ```ts
   * framer.push(Buffer.from("id: 1\ndata: a\n\nid: 2\n")).lastId; // "1"
   * ```
   */
  push(chunk: Buffer): FramedEvents {
    const all = this.#incomplete.length === 0
      ? chunk
      : Buffer.concat([this.#incomplete, chunk]);
    const end = endOfEvents(all);
    this.#incomplete = all.subarray(end);
    const bytes = all.subarray(0, end);
    return { bytes, lastId: end === 0 ? undefined : lastIdOf(bytes) };
  }

  /** Drops the incomplete event, because its engine ended the stream early. */
  reset(): void {
    this.#incomplete = Buffer.alloc(0);
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
