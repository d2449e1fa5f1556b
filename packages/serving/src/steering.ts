/** Chooses the addresses that a caller should use.
 *
 * If machines differ, callers get the ones with the most cores in their
 * location, as long as these have capacity left: few instances keep few
 * connections to engines, and reuse them.
 *
 * @module
 */
import type { HomeRegions } from "./residency/residency.ts";
import type { Member } from "./types.ts";

/** Largest number of addresses in one response. */
const ADDRESSES_MAX = 64;

/** Smallest number of instances in a caller's zone or region for callers to use
 * only these: with fewer, the loss of one leaves the caller no alternative. */
const NEARBY_INSTANCES_MIN = 2;

/** An instance counts as strong from this fraction of the largest number of
 * cores. */
const STRONG_FRACTION = 0.6;

/** Fraction of busy time above which an instance's responses become late. */
const BUSY_FRACTION_MAX = 0.55;

/** How long all instances of a zone stay in use after its strong ones were
 * busy, in milliseconds: callers drop connections to addresses that are no
 * longer in the response. */
const USE_ALL_MS = 20_000;

/** The location of a caller. */
export interface CallerLocation {
  readonly zone: string;
  readonly region: string;
  /** The regions whose instances may receive the caller's requests, beside its
   * own; undefined for any. */
  readonly homes?: HomeRegions;
}

/** An instance that is ready for callers. */
export interface ReadyMember extends Member {
  /** Fraction of its recent time for which the instance was busy, in [0, 1]. */
  readonly busy: number;
}

/** Chooses addresses for callers. */
export class Steering {
  /** By zone, until when all of its instances are used. */
  readonly #useAllUntil = new Map<string, number>();

  /** The addresses for a caller: those of its zone, else of its region, else all
   * that may receive its requests, else all: an instance elsewhere passes requests
   * on to engines of their homes, and refuses them if it reaches none.
   *
   * @example
   * ```ts
   * const location = { zone: "a", region: "north" };
   * steering.selectAddresses(ready, location, performance.now());
   * ```
   */
  selectAddresses(
    ready: readonly ReadyMember[],
    location: CallerLocation,
    now: number,
  ): readonly string[] {
    const inZone = ready.filter((m) => m.zone === location.zone);
    const inRegion = ready.filter((m) => m.region === location.region);
    const { homes } = location;
    const permitted = homes === undefined
      ? ready
      : ready.filter((m) =>
        m.region === location.region || homes.has(m.region)
      );
    const nearby = inZone.length >= NEARBY_INSTANCES_MIN
      ? inZone
      : inRegion.length >= NEARBY_INSTANCES_MIN
      ? inRegion
      : permitted.length > 0
      ? permitted
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
