/** Which addresses a caller should use.
 *
 * Where machines differ, callers get the strong ones of their place as long as
 * these have power to spare: few instances keep few connections to engines, and
 * those connections are used again.
 *
 * @module
 */
import type { Member } from "./types.ts";

/** Addresses that one answer holds at most. */
const ADDRESSES_MAX = 64;

/** A caller's own place needs this many instances to be used alone; with fewer,
 * the loss of one leaves the caller without a choice. */
const ENOUGH_NEARBY = 2;

/** An instance is strong with this part of the strongest one's power. */
const STRONG_FRACTION = 0.6;

/** Busy part of its time above which an instance's answers become late. */
const BUSY_LIMIT = 0.55;

/** How long a place keeps all of its instances in use after its strong ones
 * were busy, in milliseconds: callers drop connections to addresses that leave
 * the answers. */
const WIDE_MS = 20_000;

/** The caller's place. */
export interface CallerPlace {
  readonly zone: string;
  readonly region: string;
}

/** An instance that is ready for callers. */
export interface ReadyMember extends Member {
  /** Part of its time for which it was busy of late, in [0, 1]. */
  readonly busy: number;
}

/** Chooses addresses for callers. */
export class Steering {
  /** Until when all instances of a zone are used. */
  readonly #wideUntil = new Map<string, number>();

  /** The addresses for a caller: its zone, else its region, else all.
   *
   * @example
   * ```ts
   * steering.steer(ready, { zone: "a", region: "north" }, performance.now());
   * ```
   */
  steer(
    ready: readonly ReadyMember[],
    place: CallerPlace,
    now: number,
  ): readonly string[] {
    const inZone = ready.filter((m) => m.zone === place.zone);
    const inRegion = ready.filter((m) => m.region === place.region);
    const near = inZone.length >= ENOUGH_NEARBY
      ? inZone
      : inRegion.length >= ENOUGH_NEARBY
      ? inRegion
      : ready;
    return this.#strongOf(near, place.zone, now)
      .slice(0, ADDRESSES_MAX)
      .map((m) => m.callerAddress);
  }

  #strongOf(
    near: readonly ReadyMember[],
    zone: string,
    now: number,
  ): readonly ReadyMember[] {
    const most = Math.max(...near.map((m) => m.cores));
    const strong = near.filter((m) => m.cores >= most * STRONG_FRACTION);
    if (strong.length < ENOUGH_NEARBY) return near;
    const busy = strong.reduce((sum, m) => sum + m.busy, 0) / strong.length;
    if (busy > BUSY_LIMIT) this.#wideUntil.set(zone, now + WIDE_MS);
    return now < (this.#wideUntil.get(zone) ?? -Infinity) ? near : strong;
  }
}
