/** Promises that successors made to a session's holder.
 *
 * @module
 */
import { PROMISE_REFUSED } from "./events.ts";
import type { PromiseAsk } from "./generated/lease_messages.ts";
import type { LeaseDeps, LeaseOptions } from "./session_start.ts";

/** Requests from successors the promise not to take over the session, and
 * records their promises. */
export class SuccessorPromises {
  readonly #deps: LeaseDeps;
  readonly #options: LeaseOptions;
  readonly #promised_until = new Map<string, number>();

  constructor(deps: LeaseDeps, options: LeaseOptions) {
    this.#deps = deps;
    this.#options = options;
  }

  /** Returns the clock reading until which all of `ids` have promised not to
   * take over; `-Infinity` if one has made no promise. */
  promisedUntil(ids: ReadonlySet<string>): number {
    const promise_ends = [...ids].map((id) =>
      this.#promised_until.get(id) ?? -Infinity
    );
    return Math.min(...promise_ends);
  }

  /** Removes the promises of all successors but `ids`. */
  retainOnly(ids: ReadonlySet<string>): void {
    for (const id of this.#promised_until.keys()) {
      if (!ids.has(id)) this.#promised_until.delete(id);
    }
  }

  /** Requests a promise from each of `ids`, without waiting for the replies. */
  ask(ids: ReadonlySet<string>, seq: number): void {
    const { id, term_ms } = this.#options;
    for (const to of ids) void this.#requestOne({ to, id, seq, ms: term_ms });
  }

  async #requestOne(request: PromiseAsk): Promise<void> {
    const { clock, peers, metrics, log } = this.#deps;
    // The holder counts the promise from before the request was sent; the
    // successor counts it from the later receipt, so it lasts longer there.
    const sent_at = clock.now();
    const reply = await peers.requestPromise(request.to, request);
    if (reply.isErr()) {
      metrics.count("lease.promise", { outcome: reply.error.kind });
      return;
    }
    const { ok, why } = reply.value;
    metrics.count("lease.promise", { outcome: ok ? "ok" : `${why}` });
    if (!ok) {
      log.write(PROMISE_REFUSED, {
        session: request.id,
        successor: request.to,
        why,
      });
      return;
    }
    const previous_until = this.#promised_until.get(request.to) ?? -Infinity;
    this.#promised_until.set(
      request.to,
      Math.max(previous_until, sent_at + request.ms),
    );
  }
}
