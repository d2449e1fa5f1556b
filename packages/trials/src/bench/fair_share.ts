/** Max-min fair shares.
 *
 * @module
 */

/** Tokens that one workspace requests. */
export interface Demand {
  readonly name: string;
  readonly tokens: number;
}

/** Divides a capacity: no workspace gets more than it demands, and capacity
 * that one does not use is divided evenly among the rest. Returns the tokens of
 * each workspace by name.
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
  let remaining_tokens = capacity;
  const sorted = [...demands].sort((a, b) => a.tokens - b.tokens);
  for (const [index, { name, tokens }] of sorted.entries()) {
    const share = Math.min(tokens, remaining_tokens / (sorted.length - index));
    shares.set(name, share);
    remaining_tokens -= share;
  }
  return shares;
}
