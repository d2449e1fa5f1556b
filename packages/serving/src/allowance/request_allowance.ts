/** A token bucket for this instance's share of what an engine accepts from all
 * instances together.
 *
 * @module
 */

/** Requests that an instance may send at once: the share of this time, in
 * milliseconds, and at least one. In any window the sum of all instances is the
 * limit and these. */
export const ALLOWANCE_BURST_MS = 500;

/** How long a share is used before it is computed again, in milliseconds. */
const SHARE_VALID_MS = 100;

/** The requests that this instance may send to one engine. */
export class RequestAllowance {
  readonly #computeShare: (now: number) => number;
  /** Requests that may be sent now. */
  #tokens = 0;
  #tokensAt: number;
  /** Requests a second that may be sent. */
  #share = 0;
  #shareAt = -Infinity;

  /** `computeShare` gives the requests a second that this instance may send. */
  constructor(computeShare: (now: number) => number, now: number) {
    this.#computeShare = computeShare;
    this.#tokensAt = now;
  }

  /** Requests a second that this instance may send. */
  shareAt(now: number): number {
    this.#refill(now);
    return this.#share;
  }

  /** Whether this instance may send a request now. */
  hasToken(now: number): boolean {
    this.#refill(now);
    return this.#tokens >= 1;
  }

  /** Counts a request. */
  take(): void {
    this.#tokens -= 1;
  }

  /** Time until this instance may send a request, in milliseconds; undefined if
   * it has no share. */
  waitMs(now: number): number | undefined {
    this.#refill(now);
    return this.#share > 0
      ? Math.max(0, 1 - this.#tokens) / this.#share * 1000
      : undefined;
  }

  /** Computes the share anew at the next use. */
  expireShare(now: number): void {
    this.#refill(now);
    this.#shareAt = -Infinity;
  }

  #refill(now: number): void {
    const passedMs = now - this.#tokensAt;
    const burst = Math.max(1, this.#share * ALLOWANCE_BURST_MS / 1000);
    this.#tokens = Math.min(
      burst,
      this.#tokens + this.#share * passedMs / 1000,
    );
    this.#tokensAt = now;
    if (now - this.#shareAt < SHARE_VALID_MS) return;
    this.#shareAt = now;
    this.#share = this.#computeShare(now);
    // A new sharer starts without a request in hand, since the instance whose
    // share it takes over may have sent one just before.
    if (this.#share === 0) this.#tokens = 0;
  }
}
