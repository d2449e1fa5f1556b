/** Splits a stream of server-sent events into whole events, so that a stream
 * can go on at another engine after the last one that was passed on.
 *
 * @module
 */

const NEWLINE = 0x0a;

/** Whole events that may be passed on. */
export interface FramedEvents {
  readonly bytes: Buffer;
  /** The id of the last event in `bytes`, if any of them had one. */
  readonly lastId: string | undefined;
}

/** Keeps the part of the stream that is not a whole event yet. */
export class EventFramer {
  #incomplete: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not complete. */
  get pendingBytes(): number {
    return this.#incomplete.length;
  }

  /** Adds a chunk and returns the whole events so far.
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

  /** Drops the unfinished event: its engine broke off. */
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
