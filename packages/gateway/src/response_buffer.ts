/** Buffers the body of an engine's response within limits, since a faulty engine
 * may send bytes without end.
 *
 * @module
 */
import { ByteBudget, ByteCollector } from "@banyanlb/serving";

/** Maximum size of the body of a response, in bytes. */
export const RESPONSE_MAX_BYTES = 8 * 1024 * 1024;

/** Maximum size of the buffered bodies of all responses together, in bytes. */
const BUFFERED_RESPONSES_MAX_BYTES = 48 * 1024 * 1024;

const bufferedResponses = new ByteBudget(BUFFERED_RESPONSES_MAX_BYTES);

/** The body of one response, as far as it was received. */
export class ResponseBuffer {
  readonly #body = new ByteCollector();

  /** Adds a chunk; returns false, and keeps nothing, if the body has become
   * larger than a response may be or than there is room for. */
  push(chunk: Buffer): boolean {
    this.#body.push(chunk);
    const hasRoom = bufferedResponses.take(chunk.length) &&
      this.#body.sizeBytes <= RESPONSE_MAX_BYTES;
    if (!hasRoom) this.release();
    return hasRoom;
  }

  /** The body. */
  concat(): Buffer {
    return this.#body.concat();
  }

  /** Drops the body and makes room for others. May be called again. */
  release(): void {
    bufferedResponses.release(this.#body.sizeBytes);
    this.#body.clear();
  }
}
