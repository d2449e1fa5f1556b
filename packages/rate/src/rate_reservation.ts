/** The reservation of tokens for one request.
 *
 * @module
 */
import type { Clock } from "@banyanlb/core";
import { NETWORK_DELAY_FRACTION } from "./constants.ts";

/** Tokens that one holder granted. */
export interface Grant {
  readonly holder: string;
  /** Id of the token request to the holder. */
  readonly id: string;
  readonly tokens: number;
}

/** Contents of a reservation. */
export interface ReservationOptions {
  readonly tokens: number;
  readonly grants: readonly Grant[];
  /** Time of the clock before the first token request was sent. */
  readonly sent_at: number;
  /** Milliseconds from `sent_at` within which the tokens may reach a target. */
  readonly validity_ms: number;
  readonly clock: Clock;
  readonly settle: (grant: Grant, used: number) => void;
}

/** Tokens reserved for one request. Must be settled once.
 *
 * @example
 * ```ts
 * if (reservation.isUsable()) send(req);
 * else reservation.settle(0);
 * ```
 */
export class Reservation {
  readonly tokens: number;
  readonly #options: ReservationOptions;
  #is_settled = false;

  constructor(options: ReservationOptions) {
    this.tokens = options.tokens;
    this.#options = options;
  }

  /** True if the request may be sent to the target in this turn of the event
   * loop. Otherwise the caller must settle with 0 and acquire tokens again. */
  isUsable(): boolean {
    const { clock, sent_at, validity_ms } = this.#options;
    const age_ms = clock.now() - sent_at;
    return !this.#is_settled &&
      age_ms <= validity_ms * (1 - NETWORK_DELAY_FRACTION);
  }

  /** Reports the tokens used; 0 only if the request was not sent. Unused tokens
   * return to the holders in the order in which they granted, since the first
   * ones have the emptier buckets. A second call has no effect. */
  settle(used: number): void {
    if (this.#is_settled) return;
    this.#is_settled = true;
    let remaining = used;
    const grants = this.#options.grants.toReversed();
    const last = grants.at(-1);
    for (const grant of grants) {
      const used_of_grant = grant === last
        ? remaining
        : Math.min(remaining, grant.tokens);
      this.#options.settle(grant, used_of_grant);
      remaining -= used_of_grant;
    }
  }
}
