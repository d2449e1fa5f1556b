/** A limit on the bytes that many buffers hold together.
 *
 * @module
 */

/** Counts bytes against a common limit.
 *
 * @example
 * ```ts
 * const budget = new ByteBudget(64 * 1024 * 1024);
 * if (!budget.take(chunk.length)) req.destroy();
 * ```
 */
export class ByteBudget {
  readonly #maxBytes: number;
  #usedBytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Counts `bytes`; returns whether all bytes are within the limit. Bytes
   * beyond it count as well until they are released. */
  take(bytes: number): boolean {
    this.#usedBytes += bytes;
    return this.#usedBytes <= this.#maxBytes;
  }

  /** Releases bytes that were counted. */
  release(bytes: number): void {
    this.#usedBytes -= bytes;
  }
}
