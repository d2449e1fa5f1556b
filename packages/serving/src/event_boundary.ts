/** Tells whether a stream of server-sent events has ended between two events.
 *
 * @module
 */

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Number of bytes that show whether the last line is blank. */
const TAIL_BYTES = 3;

/** Follows the bytes of a stream without keeping them. */
export class EventBoundary {
  #tail: Buffer = Buffer.alloc(0);

  /** Whether no event has begun since the last blank line.
   *
   * @example
   * ```ts
   * boundary.push(Buffer.from("id: 1\ndata: a\n\nid: 2"));
   * boundary.isReached; // false
   * ```
   */
  get isReached(): boolean {
    const tail = this.#tail;
    if (tail.length === 0) return true;
    if (tail.at(-1) !== NEWLINE) return false;
    return tail.at(-2) === NEWLINE ||
      (tail.at(-2) === CARRIAGE_RETURN && tail.at(-3) === NEWLINE);
  }

  /** Adds bytes of the stream. */
  push(chunk: Buffer): void {
    this.#tail = chunk.length >= TAIL_BYTES
      ? chunk.subarray(-TAIL_BYTES)
      : Buffer.concat([this.#tail, chunk]).subarray(-TAIL_BYTES);
  }
}
