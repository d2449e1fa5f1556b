/** Which addresses a caller should use.
 *
 * @module
 */
import type { Member } from "./types.ts";

/** Addresses that one answer holds at most. */
const ADDRESSES_MAX = 64;

/** A caller's own place needs this many instances to be used alone; with fewer,
 * the loss of one leaves the caller without a choice. */
const ENOUGH_NEARBY = 2;

/** The caller's place. */
export interface CallerPlace {
  readonly zone: string;
  readonly region: string;
}

/** The addresses for a caller: its zone, else its region, else all.
 *
 * @example
 * ```ts
 * steer(members, { zone: "a", region: "north" });
 * ```
 */
export function steer(
  members: readonly Member[],
  place: CallerPlace,
): readonly string[] {
  const inZone = members.filter((m) => m.zone === place.zone);
  const inRegion = members.filter((m) => m.region === place.region);
  const chosen = inZone.length >= ENOUGH_NEARBY
    ? inZone
    : inRegion.length >= ENOUGH_NEARBY
    ? inRegion
    : members;
  return chosen.slice(0, ADDRESSES_MAX).map((m) => m.callerAddress);
}
