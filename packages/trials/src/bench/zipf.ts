/** Zipf-distributed choices and shuffles from a source of random numbers.
 *
 * @module
 */

/** Picks ranks with probability proportional to `1 / (rank + 1) ** exponent`.
 *
 * @example
 * ```ts
 * new ZipfPicker(3_000, 1).pick(0); // 0, the most popular
 * ```
 */
export class ZipfPicker {
  readonly #cumulative: readonly number[];

  constructor(count: number, exponent: number) {
    let sum = 0;
    this.#cumulative = Array.from({ length: count }, (_, rank) => {
      sum += 1 / (rank + 1) ** exponent;
      return sum;
    });
  }

  /** Probability of a rank. */
  probability(rank: number): number {
    const before = rank === 0 ? 0 : this.#cumulative[rank - 1]!;
    return (this.#cumulative[rank]! - before) / this.#cumulative.at(-1)!;
  }

  /** The rank for a random number in [0, 1). */
  pick(random: number): number {
    const threshold = random * (this.#cumulative.at(-1) ?? 0);
    let low = 0;
    let high = this.#cumulative.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#cumulative[middle]! > threshold) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}

/** Returns a shuffled copy (Fisher-Yates). */
export function shuffle<T>(rows: readonly T[], random: () => number): T[] {
  const copy = [...rows];
  for (let i = copy.length - 1; i > 0; i--) {
    const j = Math.floor(random() * (i + 1));
    [copy[i], copy[j]] = [copy[j]!, copy[i]!];
  }
  return copy;
}
