/** Rate limit of a workspace over all instances.
 *
 * Within any window of the deployment's length a workspace may use its rate
 * times the window, plus its burst once. No instance sees what all of them
 * admit, and reports of it are late exactly when much is admitted. Therefore
 * each instance has a share of the limit and counts only what was used of that
 * share, by itself or by instances to which it lent units. The invariants:
 *
 * 1. The shares add up to one.
 * 2. What was used of a share within a window is at most the share of the limit,
 *    whatever other instances do or report.
 * 3. Units that were lent count until the window has passed the end of the loan,
 *    whether they were used or not.
 * 4. A share that grows brings no units that its former holder may have used.
 *
 * @module
 */
import { RateClaims } from "./rate_claims/rate_claims.ts";
import { UseWindow } from "./use_window.ts";

/** Longest time for which units are lent, in milliseconds. */
export const LOAN_MAX_MS = 3000;

/** Fraction of a share that counts as used when a process starts: an earlier
 * process may have used it. It leaves the window like any other use. */
const START_USED_FRACTION = 0.8;

/** Length of the slices in which use is kept for a next process, in
 * milliseconds. */
export const SLICE_MS = 2000;

/** What may have been used since the use was kept, as a multiple of the use in
 * the same time before. */
const LATER_USE_FACTOR = 2;

/** Fraction of the burst that large requests leave to small ones: an
 * application's small call costs a fraction of a generation, and must not
 * starve while generations use up the rate. */
const SMALL_REQUEST_RESERVE_FRACTION = 0.1;

/** Fraction of the burst above which a request is large. */
const LARGE_REQUEST_FRACTION = 0.005;

/** A request is large above this many times the units of a small call, too: the
 * burst of a large workspace says nothing about its calls. */
const LARGE_REQUEST_FACTOR = 4;

/** Largest part of a share that claims keep from new requests. */
const CLAIMED_MAX_FRACTION = 0.25;

/** A workspace's limits, in units. */
export interface RateLimit {
  readonly perSecond: number;
  readonly burst: number;
}

/** Units that were taken from a share, to be given back if the request did not
 * run. */
export interface TakenUnits {
  readonly units: number;
  /** Where the window counts them. */
  readonly bucket: number;
}

/** Units that a limit allows within a window.
 *
 * @example
 * ```ts
 * unitsInWindow({ perSecond: 1000, burst: 2000 }, 8000); // 10000
 * ```
 */
export function unitsInWindow(limit: RateLimit, windowMs: number): number {
  return limit.perSecond * windowMs / 1000 + limit.burst;
}

/** One instance's share of a workspace's limit. */
export class TokenRate {
  #limit: RateLimit;
  readonly #windowMs: number;
  readonly #window: UseWindow;
  readonly #hasEarlierUse: boolean;
  #smallUnits: number;
  #share = 0;
  #isShared = false;
  #admitsLarge = true;
  #removeAssumedUse: () => void = () => undefined;
  readonly #claims = new RateClaims();

  /** `hasEarlierUse` is whether an earlier process of this instance may have
   * used the limit within the last window; `smallUnits` are the units of a small
   * call, if they are known. */
  constructor(
    limit: RateLimit,
    options: {
      readonly now: number;
      readonly windowMs: number;
      readonly hasEarlierUse: boolean;
      readonly smallUnits?: number;
    },
  ) {
    this.#limit = limit;
    this.#smallUnits = options.smallUnits ?? Infinity;
    this.#windowMs = options.windowMs;
    this.#hasEarlierUse = options.hasEarlierUse;
    this.#window = new UseWindow(options.now, {
      windowMs: options.windowMs,
      futureMs: LOAN_MAX_MS,
    });
  }

  /** The limit of all instances together. */
  get limit(): RateLimit {
    return this.#limit;
  }

  /** This instance's share of the limit, in [0, 1]. */
  get share(): number {
    return this.#share;
  }

  /** Units that the share allows within a window. */
  get shareUnits(): number {
    return this.#share * unitsInWindow(this.#limit, this.#windowMs);
  }

  /** Replaces the limit, and the units of a small call. */
  setLimit(limit: RateLimit, smallUnits = Infinity): void {
    this.#limit = limit;
    this.#smallUnits = smallUnits;
  }

  /** Replaces the share at `now`. `admitsLarge` is whether this instance, as one
   * of all, admits requests above its whole share. */
  setShare(share: number, now: number, admitsLarge = share >= 1): void {
    this.#admitsLarge = admitsLarge;
    const growth = share - this.#share;
    if (growth === 0 && this.#isShared) return;
    this.#window.advance(now);
    this.#share = share;
    const addedUnits = growth * unitsInWindow(this.#limit, this.#windowMs);
    if (!this.#isShared) {
      if (this.#hasEarlierUse) {
        this.#removeAssumedUse = this.#window.addEvenly(
          addedUnits * START_USED_FRACTION,
        );
      }
    } else if (growth > 0) this.#window.add(addedUnits, now);
    this.#isShared = true;
  }

  /** Units left of the share at `now`; below zero if the share or the limit was
   * lowered. */
  levelAt(now: number): number {
    this.#window.advance(now);
    return this.shareUnits - this.#window.total;
  }

  /** Lowers the level to what an earlier process of this instance had left, as
   * far as peers know. */
  adoptLevel(level: number, now: number): void {
    const surplus = this.levelAt(now) - level;
    if (surplus > 0) this.#window.add(surplus, now);
  }

  /** The use of the share within the window, in slices of time, the latest
   * first. */
  useAt(now: number): readonly number[] {
    this.#window.advance(now);
    return this.#window.slices(SLICE_MS).map(Math.ceil);
  }

  /** Adopts the use that an earlier process of this instance had kept at `at`, in
   * place of the assumed one. */
  restoreUse(slices: readonly number[], options: {
    readonly at: number;
    readonly now: number;
  }): void {
    const { at, now } = options;
    this.#window.advance(now);
    this.#removeAssumedUse();
    slices.forEach((units, i) =>
      this.#window.addPast(units, at - i * SLICE_MS)
    );
    const usedPerMs = (slices[0] ?? 0) / SLICE_MS;
    const laterUnits = usedPerMs * (now - at) * LATER_USE_FACTOR;
    this.#window.add(
      Math.max(0, Math.min(laterUnits, this.levelAt(now))),
      now,
    );
  }

  /** Takes units from the share if enough are left; returns undefined if not.
   * Units for another instance count from the end of the loan, `validMs` after
   * `now`.
   *
   * @example
   * ```ts
   * const taken = rate.tryTake(1200, { now: performance.now() });
   * if (taken === undefined) refuse(rate.waitMs(1200, performance.now()));
   * ```
   */
  tryTake(
    units: number,
    options: {
      readonly now: number;
      readonly validMs?: number;
      /** The stream that goes on with them. */
      readonly resumes?: string | undefined;
    },
  ): TakenUnits | undefined {
    const { now, validMs = 0, resumes } = options;
    const required = this.#requiredLevel(units, now, resumes !== undefined);
    if (this.#share <= 0 || this.levelAt(now) < required) return undefined;
    if (resumes !== undefined) this.#claims.meet(resumes);
    return { units, bucket: this.#window.add(units, now + validMs) };
  }

  /** Takes what the share has left of the units that a request needs, if that is
   * less; the rest must come from other instances. */
  takeRest(units: number, now: number, isResumed = false): TakenUnits {
    const spare = this.levelAt(now) -
      this.#reservedUnits(units, now, isResumed);
    const rest = Math.max(0, Math.min(units, Math.floor(spare)));
    return { units: rest, bucket: this.#window.add(rest, now) };
  }

  /** Gives units back that were not used. */
  refund(taken: TakenUnits, now: number): void {
    this.#window.advance(now);
    this.#window.remove(taken.units, taken.bucket);
  }

  /** Records that a stream could not go on for want of units: others that begin
   * leave it as many until its caller has had time to return. */
  claim(stream: string, units: number, now: number): void {
    this.#claims.add(stream, units, now);
  }

  /** Milliseconds from `now` until the share has enough units for a request, if
   * no other request uses any. */
  waitMs(units: number, now: number, isResumed = false): number {
    const missing = this.#requiredLevel(units, now, isResumed) -
      this.levelAt(now);
    return missing <= 0 ? 0 : this.#window.waitMs(missing, now);
  }

  /** The level from which a request of `units` is admitted. One instance admits a
   * request above its whole share, when nothing of it was used. */
  #requiredLevel(units: number, now: number, isResumed: boolean): number {
    if (units > this.shareUnits && !this.#admitsLarge) return Infinity;
    const reserved = this.#reservedUnits(units, now, isResumed);
    return Math.min(units + reserved, this.shareUnits);
  }

  /** Units of the share that a request of `units` must leave: to streams that
   * broke off and to smaller requests. A stream that goes on leaves none, since
   * what its caller has of it is worth nothing without the rest. */
  #reservedUnits(units: number, now: number, isResumed: boolean): number {
    if (isResumed) return 0;
    const claimed = Math.min(
      this.#claims.unitsAt(now),
      this.shareUnits * CLAIMED_MAX_FRACTION,
    );
    return claimed + this.#unitsForSmall(units);
  }

  #unitsForSmall(units: number): number {
    const { burst } = this.#limit;
    const smallMax = Math.min(
      burst * LARGE_REQUEST_FRACTION,
      this.#smallUnits * LARGE_REQUEST_FACTOR,
    );
    return units > smallMax
      ? burst * SMALL_REQUEST_RESERVE_FRACTION * this.#share
      : 0;
  }
}
