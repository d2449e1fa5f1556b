/** A queue that is fair between workspaces by tokens.
 *
 * @module
 */
import {
  PermitQueue,
  type QueuedRequest,
  type QueueView,
  type RequestClass,
  type TokenCharge,
} from "@banyanlb/core";
import {
  AGED_BATCH_SHARE,
  BATCH_AGING_MS,
  MAX_BATCH_CREDIT_TOKENS,
  MAX_QUEUED_ASKS,
} from "./constants.ts";
import { FairClass } from "./fair_class.ts";

/** Interactive asks go before batch asks. Batch asks that waited long get a
 * small share of the tokens beside them. Within a class, workspaces share by
 * tokens and weight. The queue is bounded, and one workspace never takes all
 * of its places: each may hold at most as many as are free.
 *
 * @example
 * ```ts
 * const queue = new FairQueue();
 * queue.add(ask);
 * queue.take({ now: clock.now(), accepts: () => true });
 * ```
 */
export class FairQueue extends PermitQueue {
  readonly #limit: number;
  readonly #interactive = new FairClass();
  readonly #batch = new FairClass();
  #batch_credit = 0;

  constructor(limit: number = MAX_QUEUED_ASKS) {
    super();
    this.#limit = limit;
  }

  override get size(): number {
    return this.#interactive.size + this.#batch.size;
  }

  override add(ask: QueuedRequest): boolean {
    const free = this.#limit - this.size;
    const held = this.#interactive.countOf(ask.workspace) +
      this.#batch.countOf(ask.workspace);
    if (held >= free) return false;
    this.#classOf(ask.class).add(ask);
    return true;
  }

  override remove(id: string): boolean {
    return this.#interactive.remove(id) || this.#batch.remove(id);
  }

  override peek(view: QueueView): QueuedRequest | undefined {
    return this.#peekAged(view) ?? this.#interactive.peek(view) ??
      this.#batch.peek(view);
  }

  override take(view: QueueView): QueuedRequest | undefined {
    const ask = this.peek(view);
    if (ask === undefined) return undefined;
    this.#chargeClass(ask);
    this.#classOf(ask.class).take(ask);
    return ask;
  }

  override settle(charge: TokenCharge): void {
    this.#classOf(charge.class).settle(charge);
  }

  /** The next batch ask that waited long, if its class has credit. */
  #peekAged(view: QueueView): QueuedRequest | undefined {
    if (this.#batch_credit <= 0) return undefined;
    const aged_at = view.now - BATCH_AGING_MS;
    return this.#batch.peek({
      now: view.now,
      accepts: (ask) => ask.queued_at <= aged_at && view.accepts(ask),
    });
  }

  /** Interactive tokens earn credit for batch, which its own tokens use up
   * as long as interactive asks wait. */
  #chargeClass(ask: QueuedRequest): void {
    if (ask.class === "interactive") {
      const earned = ask.tokens * AGED_BATCH_SHARE / (1 - AGED_BATCH_SHARE);
      this.#batch_credit = Math.min(
        this.#batch_credit + earned,
        MAX_BATCH_CREDIT_TOKENS,
      );
      return;
    }
    if (this.#interactive.size > 0) this.#batch_credit -= ask.tokens;
  }

  #classOf(request_class: RequestClass): FairClass {
    return request_class === "batch" ? this.#batch : this.#interactive;
  }
}
