/** First-in, first-out queue, a baseline for comparison with the fair queue.
 *
 * @module
 */
import {
  PermitQueue,
  type QueuedRequest,
  type QueueView,
} from "@banyanlb/core";
import { MAX_QUEUED_REQUESTS } from "./constants.ts";

/** A bounded queue that serves requests in order of arrival. */
export class FifoQueue extends PermitQueue {
  readonly #requests = new Map<string, QueuedRequest>();
  readonly #limit: number;

  constructor(limit: number = MAX_QUEUED_REQUESTS) {
    super();
    this.#limit = limit;
  }

  override get size(): number {
    return this.#requests.size;
  }

  override add(request: QueuedRequest): boolean {
    if (this.#requests.size >= this.#limit) return false;
    this.#requests.set(request.id, request);
    return true;
  }

  override remove(id: string): boolean {
    return this.#requests.delete(id);
  }

  override peek(view: QueueView): QueuedRequest | undefined {
    for (const request of this.#requests.values()) {
      if (view.accepts(request)) return request;
    }
    return undefined;
  }

  override take(view: QueueView): QueuedRequest | undefined {
    const request = this.peek(view);
    if (request !== undefined) this.#requests.delete(request.id);
    return request;
  }

  /** Has no effect: the order does not depend on tokens. */
  override settle(): void {}
}
