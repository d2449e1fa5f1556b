/** Persistent maps: every change returns a new map that shares the unchanged
 * buckets.
 *
 * @module
 */

/** Index of the bucket for `key`. A version falls into the bucket of its
 * adapter. `bucket_count` must be a power of two.
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
  // The low bits of an FNV hash are poorly distributed for short keys.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  return ((hash ^ (hash >>> 13)) >>> 0) & (bucket_count - 1);
}

/** An immutable map with string keys, divided into buckets. */
export abstract class PersistentMap<V> {
  /** Number of entries. */
  abstract readonly size: number;
  /** Number of buckets, a power of two. */
  abstract readonly bucketCount: number;

  /** The value for `key`, if any. */
  abstract get(key: string): V | undefined;

  /** All values of one bucket, in no particular order. */
  abstract bucket(index: number): Iterable<V>;

  /** A map with the entries set; a value of `undefined` removes the key. */
  abstract with(
    entries: Iterable<readonly [string, V | undefined]>,
  ): PersistentMap<V>;

  /** All values, in no particular order. */
  *values(): IterableIterator<V> {
    for (let i = 0; i < this.bucketCount; i++) yield* this.bucket(i);
  }
}

/** Groups entries by the bucket of their key. If a key occurs repeatedly, its
 * last entry is used. */
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
