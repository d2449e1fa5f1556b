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
const NEARBY_INSTANCES_MIN = 2;

/** An instance is strong with this part of the strongest one's power. */
const STRONG_FRACTION = 0.6;

/** Busy part of its time above which an instance's answers become late. */
const BUSY_FRACTION_MAX = 0.55;

/** How long a place keeps all of its instances in use after its strong ones
 * were busy, in milliseconds: callers drop connections to addresses that leave
 * the answers. */
const USE_ALL_MS = 20_000;

/** The caller's place. */
export interface CallerLocation {
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
  readonly #useAllUntil = new Map<string, number>();

  /** The addresses for a caller: its zone, else its region, else all.
   *
   * @example
   * ```ts
   * steering.steer(ready, { zone: "a", region: "north" }, performance.now());
   * ```
   */
  selectAddresses(
    ready: readonly ReadyMember[],
    location: CallerLocation,
    now: number,
  ): readonly string[] {
    const inZone = ready.filter((m) => m.zone === location.zone);
    const inRegion = ready.filter((m) => m.region === location.region);
    const nearby = inZone.length >= NEARBY_INSTANCES_MIN
      ? inZone
      : inRegion.length >= NEARBY_INSTANCES_MIN
      ? inRegion
      : ready;
    return this.#selectStrong(nearby, location.zone, now)
      .slice(0, ADDRESSES_MAX)
      .map((m) => m.callerAddress);
  }

  #selectStrong(
    nearby: readonly ReadyMember[],
    zone: string,
    now: number,
  ): readonly ReadyMember[] {
    const maxCores = Math.max(...nearby.map((m) => m.cores));
    const strong = nearby.filter((m) => m.cores >= maxCores * STRONG_FRACTION);
    if (strong.length < NEARBY_INSTANCES_MIN) return nearby;
    const busy = strong.reduce((sum, m) => sum + m.busy, 0) / strong.length;
    if (busy > BUSY_FRACTION_MAX) this.#useAllUntil.set(zone, now + USE_ALL_MS);
    return now < (this.#useAllUntil.get(zone) ?? -Infinity) ? nearby : strong;
  }
}
