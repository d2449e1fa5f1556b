/** Lease on the right to send orders to engines, confirmed by the store.
 *
 * An instance renews its entry in the store. Another instance may remove that
 * entry only after it has seen it unchanged for a whole lease duration, so the
 * lease of the entry's owner has expired by then.
 *
 * @module
 */
import type { ClockPair, Moment } from "./clock_pair.ts";

/** Duration of the lease from the moment at which a renewal was sent, in
 * milliseconds. Twice the longest store outage that should not stop orders. */
export const ORDER_LEASE_MS = 6000;

/** Orders stop this long before the lease expires, in milliseconds: an order
 * that waits for a connection must not be written after the expiry. */
const ORDER_LEASE_MARGIN_MS = 700;

/** The lease of this instance. */
export class OrderLease {
  readonly #clocks: ClockPair;
  #renewalSentAt: Moment | undefined;
  /** The last renewal before the store was restored. */
  #formerSentAt: Moment | undefined;

  constructor(clocks: ClockPair) {
    this.#clocks = clocks;
  }

  /** Records that the store accepted a renewal that was sent at `sentAt`. */
  recordRenewal(sentAt: Moment): void {
    this.#renewalSentAt = sentAt;
  }

  /** Ends the lease, because another instance removed the entry. */
  revoke(): void {
    this.#renewalSentAt = undefined;
  }

  /** Records that the store was restored, and may have lost what this instance
   * owns. */
  recordRestore(): void {
    this.#formerSentAt = this.#renewalSentAt;
  }

  /** Whether an order may be written in this event-loop turn. */
  isHeld(): boolean {
    return this.#isWithinTerm(this.#renewalSentAt);
  }

  /** Whether the lease of before the last restore is still held: what was owned
   * then is owned until its end. */
  isFormerHeld(): boolean {
    return this.#isWithinTerm(this.#formerSentAt);
  }

  #isWithinTerm(sentAt: Moment | undefined): boolean {
    return sentAt !== undefined &&
      this.#clocks.elapsedMs(sentAt) < ORDER_LEASE_MS - ORDER_LEASE_MARGIN_MS;
  }
}

/** Detects when the lease of another member has expired, so that its entry may
 * be removed. */
export class ExpiryDetector {
  readonly #clocks: ClockPair;
  readonly #seen = new Map<string, { revision: number; at: number }>();

  constructor(clocks: ClockPair) {
    this.#clocks = clocks;
  }

  /** Records the revision of a member's entry, as a linearizable read that was
   * sent at `readSentAt` showed it, and returns whether the member's lease has
   * expired. Only the monotonic clock counts: time for which this instance was
   * suspended proves nothing. */
  observe(name: string, revision: number, readSentAt: Moment): boolean {
    const seen = this.#seen.get(name);
    if (seen === undefined || seen.revision !== revision) {
      this.#seen.set(name, { revision, at: this.#clocks.read().monotonic });
      return false;
    }
    return readSentAt.monotonic - seen.at > ORDER_LEASE_MS;
  }

  /** Forgets a member that is alive again or was removed. */
  forget(name: string): void {
    this.#seen.delete(name);
  }
}
