/** Selects suspects where there is no room for all.
 *
 * @module
 */

/** What of one request may crash engines: the parts of its prompt that other
 * requests may share, in order, and the request as a whole. The last one is the
 * most specific. */
export type Suspects = readonly string[];

/** The `count` suspects with the lowest rank, in their order; of suspects with the same
 * rank the first ones.
 *
 * @example
 * ```ts
 * selectSuspects(["a", "b", "c"], { count: 2, rank: (p) => p === "c" ? 0 : 1 });
 * // ["a", "c"]
 * ```
 */
export function selectSuspects(
  suspects: Suspects,
  options: {
    readonly count: number;
    readonly rank: (suspect: string) => number;
  },
): Suspects {
  const { count, rank } = options;
  if (suspects.length <= count) return suspects;
  const ranked = suspects.map((suspect) => [rank(suspect), suspect] as const)
    .toSorted(([a], [b]) => a - b);
  const kept = new Set(ranked.slice(0, count).map(([, suspect]) => suspect));
  return suspects.filter((suspect) => kept.has(suspect));
}

/** The requests with at most `maxSuspects` suspects in all, those of the lowest
 * rank. Requests with fewer suspects than their share are kept whole.
 *
 * @example
 * ```ts
 * fitRequests([["a"], ["b", "c", "d"]], { maxSuspects: 3, rank: () => 0 });
 * // [["a"], ["b", "c"]]
 * ```
 */
export function fitRequests(
  requests: readonly Suspects[],
  options: {
    readonly maxSuspects: number;
    readonly rank: (suspect: string) => number;
  },
): readonly Suspects[] {
  const { maxSuspects, rank } = options;
  const suspectCount = requests.reduce(
    (sum, suspects) => sum + suspects.length,
    0,
  );
  if (suspectCount <= maxSuspects) return requests;
  let room = maxSuspects;
  const shares = new Map<Suspects, number>();
  const byLength = requests.toSorted((a, b) => a.length - b.length);
  byLength.forEach((suspects, i) => {
    const share = Math.floor(room / (byLength.length - i));
    shares.set(suspects, Math.min(suspects.length, share));
    room -= Math.min(suspects.length, share);
  });
  return requests.map((suspects) =>
    selectSuspects(suspects, { count: shares.get(suspects) ?? 0, rank })
  ).filter((suspects) => suspects.length > 0);
}
