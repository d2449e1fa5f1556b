/** Groups records by a key.
 *
 * @module
 */

/** Groups values by a key, in the order of their first occurrence.
 *
 * @example
 * ```ts
 * groupBy([1, 2, 3], (n) => n % 2); // Map { 1 => [1, 3], 0 => [2] }
 * ```
 */
export function groupBy<K, V>(
  values: readonly V[],
  keyOf: (value: V) => K,
): ReadonlyMap<K, readonly V[]> {
  const groups = new Map<K, V[]>();
  for (const value of values) {
    const key = keyOf(value);
    const group = groups.get(key) ?? [];
    group.push(value);
    groups.set(key, group);
  }
  return groups;
}
