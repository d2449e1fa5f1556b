/** Spreads requests over engines that many instances choose at the same moment.
 *
 * If each instance took the engine that the last reports show as the least
 * loaded, all would take the same one until the next reports. Instead each
 * imagines that the arrivals expected of all instances since the reports fill the
 * engines like water, from the lowest up to one level, and takes an engine at
 * random, by how much of that water it gets. Together the instances then do what
 * they imagined.
 *
 * @module
 */

/** An engine as it is filled. */
export interface LevelEntry {
  /** Its load without the expected arrivals, in multiples of its capacity, and
   * whatever else speaks against it on the same scale. */
  readonly base: number;
  /** Number of requests that fill one unit. */
  readonly capacity: number;
}

/** The level up to which arrivals fill the entries.
 *
 * @example
 * ```ts
 * levelOf([{ base: 0, capacity: 2 }, { base: 1, capacity: 2 }], 4); // 1.5
 * ```
 */
export function levelOf(
  entries: readonly LevelEntry[],
  arrivals: number,
): number {
  const sorted = entries.toSorted((a, b) => a.base - b.base);
  let capacity = 0;
  /** Requests below the level if all counted entries were empty. */
  let volume = arrivals;
  let level = -Infinity;
  for (const entry of sorted) {
    if (entry.base >= level && capacity > 0) break;
    capacity += entry.capacity;
    volume += entry.base * entry.capacity;
    level = volume / capacity;
  }
  return level;
}

/** The part of the arrivals that each entry gets, in [0, 1]: the chance that
 * `pickByLevel` picks it. */
export function fillParts(
  entries: readonly LevelEntry[],
  arrivals: number,
): readonly number[] {
  if (arrivals > 0) {
    const level = levelOf(entries, arrivals);
    return entries.map(({ base, capacity }) =>
      Math.max(0, level - base) * capacity / arrivals
    );
  }
  const lowest = Math.min(...entries.map(({ base }) => base));
  const count = entries.filter(({ base }) => base === lowest).length;
  return entries.map(({ base }) => base === lowest ? 1 / count : 0);
}

/** Picks an entry by its part of the arrivals; one of the lowest if there are
 * none, at random, since others may know as little. `sample` is a random number in [0, 1). Undefined without entries.
 *
 * @example
 * ```ts
 * pickByLevel(entries, { arrivals: 3, sample: Math.random() });
 * ```
 */
export function pickByLevel<T extends LevelEntry>(
  entries: readonly T[],
  { arrivals, sample }: { readonly arrivals: number; readonly sample: number },
): T | undefined {
  if (entries.length < 2) return entries[0];
  const parts = fillParts(entries, arrivals);
  let remaining = sample;
  let last: T | undefined;
  for (const [i, entry] of entries.entries()) {
    const part = parts[i] ?? 0;
    if (part <= 0) continue;
    last = entry;
    remaining -= part;
    if (remaining < 0) return entry;
  }
  // The parts may add up to a little less than 1.
  return last;
}
