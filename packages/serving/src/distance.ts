/** How far apart two places of a deployment are.
 *
 * @module
 */

/** A zone, and the region that it belongs to, if known. */
export interface Place {
  readonly zone: string;
  readonly region: string | undefined;
}

/** Distance of two places: 0 within a zone, 1 between zones of a region, 2
 * between regions. It indexes lists of what these cost. */
export type Distance = 0 | 1 | 2;

/** Returns how far apart two places are.
 *
 * @example
 * ```ts
 * const ticks = [2, 3, 4][distanceBetween(self, peer)];
 * ```
 */
export function distanceBetween(a: Place, b: Place): Distance {
  if (a.zone === b.zone) return 0;
  return a.region === b.region ? 1 : 2;
}
