/** One share's token bucket: pure accounting, time is passed in.
 *
 * @module
 */
import { MS_PER_S, RESERVATION_VALIDITY_MS } from "./constants.ts";
import { type Charge, LevelHistory } from "./level_history.ts";
import type { ShareLimits } from "./limits.ts";

/** Tokens taken from one share, to be settled once. */
export interface ShareReservation {
  readonly granted: number;
  readonly charge: Charge;
}

/** A share's state for a graceful handover. */
export interface ShareLevel {
  /** Tokens in the bucket. */
  readonly level: number;
  /** The limits that it was kept under. */
  readonly limits: ShareLimits;
}

function newCharge(tokens: number, is_settled: boolean): Charge {
  return { tokens, index: -1, add: 0, cap: Infinity, is_settled };
}

/** What a change of limits costs: tokens debited before it may arrive up to
 * the old use time after it, when a window already counts the higher rate. */
function rateIncreaseDebt(old: ShareLimits, next: ShareLimits): number {
  return Math.max(0, next.rate - old.rate) * old.validity_ms / MS_PER_S;
}

/** A token bucket that starts empty, or from an earlier holder's level. Until
 * that is known it owes the refill of the longest use time: tokens that an
 * earlier holder debited may still arrive while a window counts a rate that
 * was raised since.
 *
 * A settled reservation counts as if only the used tokens had been charged
 * when it was made. What would have overflowed since then is not returned.
 *
 * @example
 * ```ts
 * const bucket = new ShareBucket({ rate: 10, capacity: 20, validity_ms: 0 }, 0);
 * const reservation = bucket.reserve(8, 1_250);
 * bucket.settle(reservation, { used: 3, now: 1_500 });
 * bucket.level(1_500); // 9.5
 * ```
 */
export class ShareBucket {
  #limits: ShareLimits;
  readonly #history = new LevelHistory(0);
  /** Charged at the start; settled by the earlier holder's level. */
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

  /** The limits in force. */
  get limits(): ShareLimits {
    return this.#limits;
  }

  /** Tokens in the bucket. Negative after more was used than reserved. */
  level(now: number): number {
    const { add, cap } = this.#refill(now);
    return Math.min(
      this.#history.level() - this.#last_charge.tokens + add,
      cap,
    );
  }

  /** Takes up to `tokens`; fractions are allowed. */
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

  /** Settles a reservation whose outcome never came, as used whole. */
  expire(reservation: ShareReservation, now: number): void {
    this.settle(reservation, { used: reservation.granted, now });
  }

  /** Puts other limits in force. The level never rises. */
  setLimits(limits: ShareLimits, now: number): void {
    this.#push(newCharge(rateIncreaseDebt(this.#limits, limits), true), now);
    this.#limits = limits;
  }

  /** The level for the next holder. The caller grants nothing afterwards. */
  exportShare(now: number): ShareLevel {
    return { level: this.level(now), limits: this.#limits };
  }

  /** Counts an exported level as if the bucket had started with it. The
   * exporter granted nothing since before this bucket was made. A second call
   * has no effect. */
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
