/** Hash functions for keys and for the placement on slots and targets.
 *
 * @module
 */
import { createHash } from "node:crypto";

const UINT32_RANGE = 2 ** 32;

/** Lower-case hexadecimal SHA-256 of a string. */
export function hashKey(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Maps a string to a number in [0, 1). All instances compute the same number.
 *
 * @example
 * ```ts
 * hashToUnitInterval("a1") === hashToUnitInterval("a1"); // true
 * ```
 */
export function hashToUnitInterval(text: string): number {
  return createHash("sha1").update(text).digest().readUInt32BE(0) /
    UINT32_RANGE;
}

/** Sorts `items` by rendezvous hashing for `key`, highest score first. Removing
 * an item does not change the relative order of the remaining ones. */
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
