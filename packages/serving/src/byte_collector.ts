/** Collects the chunks of a body.
 *
 * @module
 */

/** Number of chunks that are kept apart before they are joined. */
const RECENT_MAX = 256;

/** Mean size of chunks below which they are joined, in bytes. */
const SMALL_BYTES = 4096;

/** The bytes of a body, as they arrive. A faulty sender may split a body into
 * chunks of a single byte; each chunk that is kept costs a hundred bytes
 * besides, on the heap, so small ones are joined. */
export class ByteCollector {
  #settled: Buffer[] = [];
  #recent: Buffer[] = [];
  #recentBytes = 0;
  #sizeBytes = 0;

  /** Number of bytes collected. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Adds a chunk.
   *
   * @example
   * ```ts
   * res.on("data", (chunk) => collector.push(chunk));
   * res.on("end", () => parse(collector.concat()));
   * ```
   */
  push(chunk: Buffer): void {
    this.#recent.push(chunk);
    this.#recentBytes += chunk.length;
    this.#sizeBytes += chunk.length;
    if (this.#recent.length < RECENT_MAX) return;
    if (this.#recentBytes < RECENT_MAX * SMALL_BYTES) {
      this.#settled.push(Buffer.concat(this.#recent));
    } else this.#settled.push(...this.#recent);
    this.#recent = [];
    this.#recentBytes = 0;
  }

  /** All bytes. */
  concat(): Buffer {
    return Buffer.concat([...this.#settled, ...this.#recent]);
  }

  /** Drops all bytes. */
  clear(): void {
    this.#settled = [];
    this.#recent = [];
    this.#recentBytes = 0;
    this.#sizeBytes = 0;
  }
}
