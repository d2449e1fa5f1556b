/** First come, first served: a baseline to measure against.
 *
 * @module
 */
import {
  PermitQueue,
  type QueuedRequest,
  type QueueView,
} from "@banyanlb/core";
import { MAX_QUEUED_ASKS } from "./constants.ts";

/** A bounded queue in order of arrival. */
export class FifoQueue extends PermitQueue {
  readonly #asks = new Map<string, QueuedRequest>();
  readonly #limit: number;

  constructor(limit: number = MAX_QUEUED_ASKS) {
    super();
    this.#limit = limit;
  }

  override get size(): number {
    return this.#asks.size;
  }

  override add(ask: QueuedRequest): boolean {
    if (this.#asks.size >= this.#limit) return false;
    this.#asks.set(ask.id, ask);
    return true;
  }

  override remove(id: string): boolean {
    return this.#asks.delete(id);
  }

  override peek(view: QueueView): QueuedRequest | undefined {
    for (const ask of this.#asks.values()) {
      if (view.accepts(ask)) return ask;
    }
    return undefined;
  }

  override take(view: QueueView): QueuedRequest | undefined {
    const ask = this.peek(view);
    if (ask !== undefined) this.#asks.delete(ask.id);
    return ask;
  }

  /** Has no effect: the order does not depend on tokens. */
  override settle(): void {}
}
