/** Small fakes of what an owner needs.
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

/** A queue in order of arrival. */
export class ArrivalQueue extends PermitQueue {
  #asks: readonly QueuedRequest[] = [];
  override get size() {
    return this.#asks.length;
  }
  override add(ask: QueuedRequest) {
    if (this.size >= 64) return false;
    this.#asks = [...this.#asks, ask];
    return true;
  }
  override remove(id: string) {
    const before = this.size;
    this.#asks = this.#asks.filter((ask) => ask.id !== id);
    return this.size < before;
  }
  override peek(view: QueueView) {
    return this.#asks.find(view.accepts);
  }
  override take(view: QueueView) {
    const ask = this.peek(view);
    if (ask !== undefined) this.remove(ask.id);
    return ask;
  }
  override settle() {}
}

/** A budget that grants every load. */
export class OpenBudget extends LoadBudget {
  override acquire() {
    return Promise.resolve({ granted: true, retry_after_ms: 0 });
  }
  override refund() {}
}

/** A log that drops everything. */
export function quietLog(): EventLog {
  const drop = () => {};
  const logger = { debug: drop, info: drop, warn: drop, error: drop };
  return new EventLog(logger as never);
}
