/** A persistent map that stores its entries packed and unpacks them on lookup.
 *
 * @module
 */
import { PackedBucket } from "./packed_bucket.ts";
import { type PackedObject, shapeOf, stemOf } from "./packed_record.ts";
import { bucketOf, groupByBucket, PersistentMap } from "./persistent_map.ts";
import type { Entry } from "./snapshot_edit.ts";

const EMPTY = PackedBucket.empty();

/** An immutable map of entries by name. Every lookup creates a new object.
 *
 * @example
 * ```ts
 * const entry = { object: adapter, generation: 1 };
 * PackedMap.empty(16).with([["tolls", entry]]).get("tolls")?.generation; // 1
 * ```
 */
export class PackedMap extends PersistentMap<Entry> {
  readonly #buckets: readonly PackedBucket[];
  override readonly size: number;

  private constructor(buckets: readonly PackedBucket[], size: number) {
    super();
    this.#buckets = buckets;
    this.size = size;
  }

  /** An empty map with this number of buckets, a power of two. */
  static empty(bucket_count: number): PackedMap {
    return new PackedMap(new Array(bucket_count).fill(EMPTY), 0);
  }

  override get bucketCount(): number {
    return this.#buckets.length;
  }

  override get(key: string): Entry | undefined {
    return this.#bucketAt(bucketOf(key, this.#buckets.length)).get(key);
  }

  override bucket(index: number): Iterable<Entry> {
    return this.#bucketAt(index).entries();
  }

  override with(
    entries: Iterable<readonly [string, Entry | undefined]>,
  ): PackedMap {
    const groups = groupByBucket(entries, this.#buckets.length);
    if (groups.size === 0) return this;
    const buckets = [...this.#buckets];
    let size = this.size;
    for (const [index, edits] of groups) {
      const before = this.#bucketAt(index);
      const after = before.with(edits);
      buckets[index] = after;
      size += after.size - before.size;
    }
    return new PackedMap(buckets, size);
  }

  /** Entries whose shape passes `test`: a superset of the matches, since
   * objects without a shape are always included. */
  *candidatesByShape(
    test: (shape: PackedObject) => boolean,
  ): IterableIterator<Entry> {
    const results = new Map<number, boolean>();
    const passes = (id: number) => {
      const cached = results.get(id);
      if (cached !== undefined) return cached;
      const shape = shapeOf(id);
      const result = shape === undefined || test(shape);
      results.set(id, result);
      return result;
    };
    for (const bucket of this.#buckets) yield* bucket.entriesOfShapes(passes);
  }

  /** Entries that may refer to a name: a superset of those that do. */
  *candidatesMentioning(name: string): IterableIterator<Entry> {
    const home_bucket = bucketOf(name, this.#buckets.length);
    for (const [index, bucket] of this.#buckets.entries()) {
      // In the bucket of `name`, references with the same stem are stored
      // without it, so the stem of the record's own name is searched for.
      const shortened_forms = index === home_bucket ? [`"${stemOf(name)}`] : [];
      yield* bucket.entriesContaining([name, ...shortened_forms]);
    }
  }

  /** Entries whose names may begin with the stem of `name`: a superset of those
   * that do. */
  candidatesByStem(name: string): IterableIterator<Entry> {
    const home = bucketOf(name, this.#buckets.length);
    return this.#bucketAt(home).entriesContaining([`"${stemOf(name)}`]);
  }

  #bucketAt(index: number): PackedBucket {
    return this.#buckets[index] ?? EMPTY;
  }
}
