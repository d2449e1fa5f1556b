/** Hashing: keys, and the choice of slots and targets.
 *
 * @module
 */
import { createHash } from "node:crypto";

const UINT32_RANGE = 2 ** 32;

/** Lower-case hexadecimal SHA-256 of a string. */
export function hashKey(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Maps a string to a number in [0, 1), the same on every instance.
 *
 * @example
 * ```ts
 * hashToUnit("adapter-1") === hashToUnit("adapter-1"); // true
 * ```
 */
export function hashToUnitInterval(text: string): number {
  return createHash("sha1").update(text).digest().readUInt32BE(0) /
    UINT32_RANGE;
}

/** Orders `items` by rendezvous hashing for `key`, best first. Removing an
 * item leaves the order of the others as it was. */
export function rankByRendezvous<T>(
  items: readonly T[],
  options: { readonly key: string; readonly name: (item: T) => string },
): readonly T[] {
  return items
    .map((item) => ({
      item,
      score: hashToUnitInterval(`${options.key}\u0000${options.name(item)}`),
    }))
    .sort((a, b) => b.score - a.score)
    .map((row) => row.item);
}
