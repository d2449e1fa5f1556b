/** Recognizes responses that continue a stream which broke off at another
 * engine.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { FramedEvents } from "@banyanlb/serving";

const NO_BYTES = Buffer.alloc(0);

/** Compares each response of a stream with the first, whose head the caller has
 * received. An engine may answer with a success that is no stream. */
export class StreamContinuation {
  /** Status and media type of the first response. */
  #form: string | undefined;
  #hasEvent = true;

  /** Whether the response may follow what the caller has received so far. */
  accepts(response: IncomingMessage): boolean {
    const form = formOf(response);
    if (this.#form !== undefined && form !== this.#form) return false;
    this.#hasEvent = this.#form === undefined;
    this.#form = form;
    return true;
  }

  /** Whether the current response has brought an event, or is the first. One
   * without an event cannot show that the stream is complete. */
  get hasEvent(): boolean {
    return this.#hasEvent;
  }

  /** The bytes to forward: none before the first event with an id. */
  filter({ bytes, lastId }: FramedEvents): Buffer {
    if (lastId !== undefined) this.#hasEvent = true;
    return this.#hasEvent ? bytes : NO_BYTES;
  }
}

function formOf({ statusCode, headers }: IncomingMessage): string {
  const [mediaType = ""] = (headers["content-type"] ?? "").split(";");
  return `${statusCode} ${mediaType.trim().toLowerCase()}`;
}

/** Whether a header can carry the id of an event. */
export function isHeaderValue(text = ""): boolean {
  return /^[\t\x20-\x7e\x80-\xff]*$/.test(text);
}
