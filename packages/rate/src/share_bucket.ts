/** Token bucket of one share. It has no clock: callers pass the time.
 *
 * @module
 */
import { MS_PER_S, RESERVATION_VALIDITY_MS } from "./constants.ts";
import { type Charge, LevelHistory } from "./level_history.ts";
import type { ShareLimits } from "./limits.ts";

/** Tokens reserved from one share. Must be settled once. */
export interface ShareReservation {
  readonly granted: number;
  readonly charge: Charge;
}

/** A share's state for a graceful handover. */
export interface ShareLevel {
  /** Tokens in the bucket. */
  readonly level: number;
  /** Limits of the bucket at the handover. */
  readonly limits: ShareLimits;
}

function newCharge(tokens: number, is_settled: boolean): Charge {
  return { tokens, index: -1, add: 0, cap: Infinity, is_settled };
}

/** Tokens to charge when the limits change. Tokens debited before the change
 * may reach targets until the old validity period has passed, in windows that
 * already allow the higher rate. */
function rateIncreaseDebt(old: ShareLimits, next: ShareLimits): number {
  return Math.max(0, next.rate - old.rate) * old.validity_ms / MS_PER_S;
}

/** A token bucket that starts empty or with the level of the previous holder.
 * Until that level is imported, the bucket has a debt: the refill during
 * `RESERVATION_VALIDITY_MS`. In that period, tokens that the previous holder
 * debited may still reach targets, in windows that may already allow a rate
 * raised since.
 *
 * Settling a reservation yields the level that the bucket would have if only
 * the used tokens had been charged at the time of the reservation. Returned
 * tokens that would have overflowed since then are lost.
 *
 * @example
 * ```ts
 * const limits = { rate: 10, capacity: 20, validity_ms: 0 };
 * const bucket = new ShareBucket(limits, 0);
 * const reservation = bucket.reserve(8, 1_250);
 * bucket.settle(reservation, { used: 3, now: 1_500 });
 * bucket.level(1_500); // 9.5
 * ```
 */
export class ShareBucket {
  #limits: ShareLimits;
  readonly #history = new LevelHistory(0);
  /** The initial debt; settled when the previous holder's level is imported. */
  readonly #opening_charge: Charge;
  readonly #opening_limits: ShareLimits;
  #last_charge: Charge;
  #last_charge_at: number;

  constructor(limits: ShareLimits, now: number) {
    const initial_debt = limits.rate * RESERVATION_VALIDITY_MS / MS_PER_S;
    this.#limits = limits;
    this.#opening_limits = limits;
    this.#opening_charge = newCharge(initial_debt, false);
    this.#last_charge = this.#opening_charge;
    this.#last_charge_at = now;
  }

  /** The current limits. */
  get limits(): ShareLimits {
    return this.#limits;
  }

  /** Tokens in the bucket. Negative while the initial debt is not refilled, and
   * if more tokens were used than reserved. */
  level(now: number): number {
    const { add, cap } = this.#refill(now);
    return Math.min(
      this.#history.level() - this.#last_charge.tokens + add,
      cap,
    );
  }

  /** Reserves up to `tokens`, which may be a fraction. */
  reserve(tokens: number, now: number): ShareReservation {
    const granted = Math.max(0, Math.min(tokens, this.level(now)));
    const charge = newCharge(granted, granted === 0);
    if (granted > 0) this.#push(charge, now);
    return { granted, charge };
  }

  /** Settles a reservation. A second call has no effect. */
  settle(
    reservation: ShareReservation,
    outcome: { readonly used: number; readonly now: number },
  ): void {
    const { charge } = reservation;
    if (charge.is_settled) return;
    charge.is_settled = true;
    if (charge.index < 0) charge.tokens = outcome.used;
    else this.#history.adjust(charge, outcome.used);
  }

  /** Settles a reservation as fully used, because its outcome was not
   * reported. */
  expire(reservation: ShareReservation, now: number): void {
    this.settle(reservation, { used: reservation.granted, now });
  }

  /** Changes the limits. This never raises the level. */
  setLimits(limits: ShareLimits, now: number): void {
    this.#push(newCharge(rateIncreaseDebt(this.#limits, limits), true), now);
    this.#limits = limits;
  }

  /** Returns the level for the next holder. The caller must not reserve tokens
   * afterwards. */
  exportShare(now: number): ShareLevel {
    return { level: this.level(now), limits: this.#limits };
  }

  /** Sets the level that the bucket would have if it had started with the
   * exported level. The previous holder must have stopped granting before this
   * bucket was created. A second call has no effect. */
  importShare(share: ShareLevel, now: number): void {
    const level = Math.min(share.level, share.limits.capacity);
    const debt = rateIncreaseDebt(share.limits, this.#opening_limits);
    const used = Math.min(debt - level, this.#opening_charge.tokens);
    this.settle({ granted: 0, charge: this.#opening_charge }, { used, now });
  }

  #refill(now: number): { readonly add: number; readonly cap: number } {
    const elapsed_ms = Math.max(0, now - this.#last_charge_at);
    const add = this.#limits.rate * elapsed_ms / MS_PER_S;
    return { add, cap: this.#limits.capacity };
  }

  #push(charge: Charge, now: number): void {
    this.#history.append(this.#last_charge, this.#refill(now));
    this.#last_charge = charge;
    this.#last_charge_at = Math.max(now, this.#last_charge_at);
  }
}
