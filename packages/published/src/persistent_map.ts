/** Maps of which every change makes a new one that shares what is unchanged.
 *
 * @module
 */

/** Number of the bucket that `key` falls in. Versions fall in the bucket of
 * their adapter. `count` is a power of two.
 *
 * @example
 * ```ts
 * bucketOf("tolls@1", 16) === bucketOf("tolls", 16); // true
 * ```
 */
export function bucketOf(key: string, bucket_count: number): number {
  const at = key.indexOf("@");
  const end = at < 0 ? key.length : at;
  let hash = 0x811c9dc5;
  for (let i = 0; i < end; i++) {
    hash = Math.imul(hash ^ key.charCodeAt(i), 0x01000193);
  }
  // FNV's low bits are weak for short keys.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  return ((hash ^ (hash >>> 13)) >>> 0) & (bucket_count - 1);
}

/** An immutable map from strings, divided into buckets. */
export abstract class PersistentMap<V> {
  /** Number of entries. */
  abstract readonly size: number;
  /** Number of buckets, a power of two. */
  abstract readonly bucketCount: number;

  /** The value of `key`, if any. */
  abstract get(key: string): V | undefined;

  /** All values of one bucket, in no particular order. */
  abstract bucket(index: number): Iterable<V>;

  /** A map with the entries set; `undefined` removes. */
  abstract with(
    entries: Iterable<readonly [string, V | undefined]>,
  ): PersistentMap<V>;

  /** All values, in no particular order. */
  *values(): IterableIterator<V> {
    for (let i = 0; i < this.bucketCount; i++) yield* this.bucket(i);
  }
}

/** Entries grouped by the bucket that their key falls in; of equal keys the
 * last counts. */
export function groupByBucket<V>(
  entries: Iterable<readonly [string, V]>,
  bucket_count: number,
): ReadonlyMap<number, ReadonlyMap<string, V>> {
  const groups = new Map<number, Map<string, V>>();
  for (const [key, value] of entries) {
    const index = bucketOf(key, bucket_count);
    const group = groups.get(index);
    if (group === undefined) groups.set(index, new Map([[key, value]]));
    else group.set(key, value);
  }
  return groups;
}
