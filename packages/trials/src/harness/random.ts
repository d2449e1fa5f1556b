/** Seeded random numbers.
 *
 * @module
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const UINT32_RANGE = 2 ** 32;

/** Creates a generator of numbers in [0, 1) whose series depends only on the
 * seed. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / UINT32_RANGE;
}
