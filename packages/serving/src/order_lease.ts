/** The right to order at engines, confirmed by the store.
 *
 * An instance renews its entry in the store. Another may end that entry only
 * after it has seen it unchanged for a whole term, so the right that stands
 * behind the entry has ended by then.
 *
 * @module
 */
import type { ClockPair, Moment } from "./two_clocks.ts";

/** How long one renewal gives the right to order, from the moment at which it
 * was sent. Twice the longest store outage that should not stop orders. */
export const ORDER_LEASE_MS = 6000;

/** Orders stop this long before the term ends, in milliseconds: an order that
 * waits for a connection must not be written after the end. */
const ORDER_LEASE_MARGIN_MS = 700;

/** Whether this instance may order now. */
export class OrderLease {
  readonly #clocks: ClockPair;
  #renewalSentAt: Moment | undefined;

  constructor(clocks: ClockPair) {
    this.#clocks = clocks;
  }

  /** The store accepted a renewal that was sent at `sentAt`. */
  recordRenewal(sentAt: Moment): void {
    this.#renewalSentAt = sentAt;
  }

  /** The store showed that another ended the entry. */
  revoke(): void {
    this.#renewalSentAt = undefined;
  }

  /** Whether an order may be written in this event-loop turn. */
  isHeld(): boolean {
    return this.#renewalSentAt !== undefined &&
      this.#clocks.elapsedMs(this.#renewalSentAt) <
        ORDER_LEASE_MS - ORDER_LEASE_MARGIN_MS;
  }
}

/** Decides when another member's entry may be ended. */
export class ExpiryDetector {
  readonly #clocks: ClockPair;
  readonly #seen = new Map<string, { revision: number; at: number }>();

  constructor(clocks: ClockPair) {
    this.#clocks = clocks;
  }

  /** Notes an entry's revision as a linearizable read has shown it, and
   * returns whether the right behind it has ended. Only the steady clock
   * counts here: time that this instance did not live through proves
   * nothing. */
  observe(name: string, revision: number, readSentAt: Moment): boolean {
    const seen = this.#seen.get(name);
    if (seen === undefined || seen.revision !== revision) {
      this.#seen.set(name, { revision, at: this.#clocks.read().monotonic });
      return false;
    }
    return readSentAt.monotonic - seen.at > ORDER_LEASE_MS;
  }

  /** Forgets a member that is alive again or gone. */
  forget(name: string): void {
    this.#seen.delete(name);
  }
}
