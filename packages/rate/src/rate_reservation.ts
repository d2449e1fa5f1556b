/** Tokens gathered for one request.
 *
 * @module
 */
import type { Clock } from "@banyanlb/core";
import { NETWORK_DELAY_FRACTION } from "./constants.ts";

/** Tokens that one holder granted. */
export interface Grant {
  readonly holder: string;
  /** Id of the ask. */
  readonly id: string;
  readonly tokens: number;
}

/** What a reservation is made of. */
export interface ReservationOptions {
  readonly tokens: number;
  readonly grants: readonly Grant[];
  /** Clock reading before the first ask was sent. */
  readonly sent_at: number;
  /** Milliseconds from `sent_at` in which the tokens may reach a target. */
  readonly validity_ms: number;
  readonly clock: Clock;
  readonly settle: (grant: Grant, used: number) => void;
}

/** Tokens reserved for one request, to be settled once.
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

  /** True if the request may leave for the target in this turn of the event
   * loop. Otherwise settle with 0 and acquire again. */
  isUsable(): boolean {
    const { clock, sent_at, validity_ms } = this.#options;
    const age_ms = clock.now() - sent_at;
    return !this.#is_settled &&
      age_ms <= validity_ms * (1 - NETWORK_DELAY_FRACTION);
  }

  /** Reports the tokens used: 0 only if nothing was sent. The rest goes back
   * to the shares, first to those that were asked first: they are the emptier
   * ones. A second call has no effect. */
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
