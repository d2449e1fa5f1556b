/** Max-min fair shares.
 *
 * @module
 */

/** The demand of one workspace. */
export interface Demand {
  readonly name: string;
  readonly tokens: number;
}

/** Shares of a capacity: none gets more than it demands, and what one leaves
 * is divided evenly among the others.
 *
 * @example
 * ```ts
 * fairShares([{ name: "a", tokens: 1 }, { name: "b", tokens: 9 }], 6);
 * // a: 1, b: 5
 * ```
 */
export function fairShares(
  demands: readonly Demand[],
  capacity: number,
): ReadonlyMap<string, number> {
  const shares = new Map<string, number>();
  let remaining = capacity;
  const sorted = [...demands].sort((a, b) => a.tokens - b.tokens);
  for (const [index, { name, tokens }] of sorted.entries()) {
    const share = Math.min(tokens, remaining / (sorted.length - index));
    shares.set(name, share);
    remaining -= share;
  }
  return shares;
}
