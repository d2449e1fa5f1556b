/** Fakes of an owner's dependencies.
 *
 * @module
 */
import {
  EventLog,
  PermitQueue,
  type QueuedRequest,
  type QueueView,
} from "@banyanlb/core";
import { LoadBudget } from "../types.ts";

/** A first-in, first-out queue of at most 64 requests. */
export class ArrivalQueue extends PermitQueue {
  #requests: readonly QueuedRequest[] = [];
  override get size() {
    return this.#requests.length;
  }
  override add(request: QueuedRequest) {
    if (this.size >= 64) return false;
    this.#requests = [...this.#requests, request];
    return true;
  }
  override remove(id: string) {
    const before = this.size;
    this.#requests = this.#requests.filter((request) => request.id !== id);
    return this.size < before;
  }
  override peek(view: QueueView) {
    return this.#requests.find(view.accepts);
  }
  override take(view: QueueView) {
    const request = this.peek(view);
    if (request !== undefined) this.remove(request.id);
    return request;
  }
  override settle() {}
}

/** A load budget that grants every load. */
export class UnlimitedBudget extends LoadBudget {
  override acquire() {
    return Promise.resolve({ granted: true, retry_after_ms: 0 });
  }
  override refund() {}
}

/** Creates a log that discards every event. */
export function createDiscardingLog(): EventLog {
  const drop = () => {};
  const logger = { debug: drop, info: drop, warn: drop, error: drop };
  return new EventLog(logger as never);
}
