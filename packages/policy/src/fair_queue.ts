/** A queue that shares tokens fairly among workspaces.
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
  MAX_QUEUED_REQUESTS,
} from "./constants.ts";
import { FairClass } from "./fair_class.ts";

/** Serves interactive requests before batch requests. Batch requests that have
 * waited long get a small share of the tokens even while interactive requests
 * wait. Within a class, workspaces share the tokens by weight. The queue is
 * bounded. A request is added only if its workspace has fewer waiting requests
 * than the queue has free positions, so that no workspace can fill the queue
 * alone.
 *
 * @example
 * ```ts
 * const queue = new FairQueue();
 * queue.add(request);
 * queue.take({ now: clock.now(), accepts: () => true });
 * ```
 */
export class FairQueue extends PermitQueue {
  readonly #limit: number;
  readonly #interactive = new FairClass();
  readonly #batch = new FairClass();
  #batch_credit_tokens = 0;

  constructor(limit: number = MAX_QUEUED_REQUESTS) {
    super();
    this.#limit = limit;
  }

  override get size(): number {
    return this.#interactive.size + this.#batch.size;
  }

  override add(request: QueuedRequest): boolean {
    const free = this.#limit - this.size;
    const queued = this.#interactive.countOf(request.workspace) +
      this.#batch.countOf(request.workspace);
    if (queued >= free) return false;
    this.#classOf(request.class).add(request);
    return true;
  }

  override remove(id: string): boolean {
    return this.#interactive.remove(id) || this.#batch.remove(id);
  }

  override peek(view: QueueView): QueuedRequest | undefined {
    return this.#peekAgedBatch(view) ?? this.#interactive.peek(view) ??
      this.#batch.peek(view);
  }

  override take(view: QueueView): QueuedRequest | undefined {
    const request = this.peek(view);
    if (request === undefined) return undefined;
    this.#chargeClass(request);
    this.#classOf(request.class).take(request);
    return request;
  }

  override settle(charge: TokenCharge): void {
    this.#classOf(charge.class).settle(charge);
  }

  /** Returns the next batch request that has waited long, if the batch class
   * has credit. */
  #peekAgedBatch(view: QueueView): QueuedRequest | undefined {
    if (this.#batch_credit_tokens <= 0) return undefined;
    const aged_at = view.now - BATCH_AGING_MS;
    return this.#batch.peek({
      now: view.now,
      accepts: (request) =>
        request.queued_at <= aged_at && view.accepts(request),
    });
  }

  /** Tokens of interactive requests add credit for the batch class. Tokens of
   * batch requests that are served while interactive requests wait use it
   * up. */
  #chargeClass(request: QueuedRequest): void {
    if (request.class === "interactive") {
      const earned = request.tokens * AGED_BATCH_SHARE / (1 - AGED_BATCH_SHARE);
      this.#batch_credit_tokens = Math.min(
        this.#batch_credit_tokens + earned,
        MAX_BATCH_CREDIT_TOKENS,
      );
      return;
    }
    if (this.#interactive.size > 0) this.#batch_credit_tokens -= request.tokens;
  }

  #classOf(request_class: RequestClass): FairClass {
    return request_class === "batch" ? this.#batch : this.#interactive;
  }
}
