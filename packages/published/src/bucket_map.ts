/** A persistent map that stores its values unpacked.
 *
 * @module
 */
import { bucketOf, PersistentMap } from "./persistent_map.ts";

const EMPTY: ReadonlyMap<string, never> = new Map<string, never>();

/** An immutable map with string keys. A change copies the affected buckets and
 * shares all others.
 *
 * @example
 * ```ts
 * const one = BucketMap.empty<number>(16).with([["a", 1]]);
 * one.get("a"); // 1
 * ```
 */
export class BucketMap<V> extends PersistentMap<V> {
  readonly #buckets: readonly ReadonlyMap<string, V>[];
  override readonly size: number;

  private constructor(
    buckets: readonly ReadonlyMap<string, V>[],
    size: number,
  ) {
    super();
    this.#buckets = buckets;
    this.size = size;
  }

  /** An empty map with this number of buckets, a power of two. */
  static empty<V>(bucket_count: number): BucketMap<V> {
    return new BucketMap<V>(new Array(bucket_count).fill(EMPTY), 0);
  }

  override get bucketCount(): number {
    return this.#buckets.length;
  }

  override get(key: string): V | undefined {
    return this.#buckets[bucketOf(key, this.#buckets.length)]?.get(key);
  }

  override bucket(index: number): Iterable<V> {
    return (this.#buckets[index] ?? EMPTY).values();
  }

  override with(
    entries: Iterable<readonly [string, V | undefined]>,
  ): BucketMap<V> {
    const buckets = [...this.#buckets];
    const copied = new Map<number, Map<string, V>>();
    let size = this.size;
    for (const [key, value] of entries) {
      const index = bucketOf(key, buckets.length);
      const bucket = copied.get(index) ?? new Map(buckets[index]);
      copied.set(index, bucket);
      buckets[index] = bucket;
      size -= bucket.size;
      if (value === undefined) bucket.delete(key);
      else bucket.set(key, value);
      size += bucket.size;
    }
    if (copied.size === 0) return this;
    return new BucketMap(buckets, size);
  }
}
