/** Selects parts of prompts where there is no room for all.
 *
 * @module
 */

/** Ids of the parts of a prompt that other requests may share, in order. */
export type SharedParts = readonly string[];

/** The `count` parts with the lowest rank, in their order; of parts with the same
 * rank the first ones.
 *
 * @example
 * ```ts
 * selectParts(["a", "b", "c"], { count: 2, rank: (p) => p === "c" ? 0 : 1 });
 * // ["a", "c"]
 * ```
 */
export function selectParts(
  parts: SharedParts,
  options: {
    readonly count: number;
    readonly rank: (part: string) => number;
  },
): SharedParts {
  const { count, rank } = options;
  if (parts.length <= count) return parts;
  const ranked = parts.map((part) => [rank(part), part] as const)
    .toSorted(([a], [b]) => a - b);
  const kept = new Set(ranked.slice(0, count).map(([, part]) => part));
  return parts.filter((part) => kept.has(part));
}

/** The prompts with at most `maxParts` parts in all, those of the lowest rank.
 * Prompts with fewer parts than their share are kept whole.
 *
 * @example
 * ```ts
 * fitPrompts([["a"], ["b", "c", "d"]], { maxParts: 3, rank: () => 0 });
 * // [["a"], ["b", "c"]]
 * ```
 */
export function fitPrompts(
  prompts: readonly SharedParts[],
  options: {
    readonly maxParts: number;
    readonly rank: (part: string) => number;
  },
): readonly SharedParts[] {
  const { maxParts, rank } = options;
  const partCount = prompts.reduce((sum, parts) => sum + parts.length, 0);
  if (partCount <= maxParts) return prompts;
  let room = maxParts;
  const shares = new Map<SharedParts, number>();
  const byLength = prompts.toSorted((a, b) => a.length - b.length);
  byLength.forEach((parts, i) => {
    const share = Math.floor(room / (byLength.length - i));
    shares.set(parts, Math.min(parts.length, share));
    room -= Math.min(parts.length, share);
  });
  return prompts.map((parts) =>
    selectParts(parts, { count: shares.get(parts) ?? 0, rank })
  ).filter((parts) => parts.length > 0);
}
