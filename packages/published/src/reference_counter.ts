/** Compact reference counts: 8 bytes for each name.
 *
 * @module
 */
import { hashName, lowerBound } from "./packed_bucket.ts";
import { bucketOf, groupByBucket } from "./persistent_map.ts";

const EMPTY = new Uint32Array(0);
const ROW_FIELDS = 2;

/** Immutable reference counts, stored by the hash of each name. Names of one
 * bucket with equal hashes share one count, so a count may be too high, never
 * too low.
 *
 * @example
 * ```ts
 * UseCounts.empty(16).add([["a", 2]]).get("a"); // 2
 * ```
 */
export class ReferenceCounter {
  /** Pairs of hash and count for each bucket, sorted by hash. */
  readonly #buckets: readonly Uint32Array[];

  private constructor(buckets: readonly Uint32Array[]) {
    this.#buckets = buckets;
  }

  /** Counts of zero for all names. */
  static empty(bucket_count: number): ReferenceCounter {
    return new ReferenceCounter(new Array(bucket_count).fill(EMPTY));
  }

  /** The reference count of a name. */
  get(name: string): number {
    const rows = this.#buckets[bucketOf(name, this.#buckets.length)] ?? EMPTY;
    const hash = hashName(name);
    const offset = lowerBound(rows, hash) * ROW_FIELDS;
    return rows[offset] === hash ? rows[offset + 1] as number : 0;
  }

  /** The counts after adding `deltas`. Each name may occur only once. */
  add(deltas: Iterable<readonly [string, number]>): ReferenceCounter {
    const groups = groupByBucket(deltas, this.#buckets.length);
    if (groups.size === 0) return this;
    const buckets = [...this.#buckets];
    for (const [index, group] of groups) {
      buckets[index] = merge(buckets[index] ?? EMPTY, sumByHash(group));
    }
    return new ReferenceCounter(buckets);
  }
}

function sumByHash(
  deltas: ReadonlyMap<string, number>,
): ReadonlyMap<number, number> {
  const sums = new Map<number, number>();
  for (const [name, delta] of deltas) {
    const hash = hashName(name);
    sums.set(hash, (sums.get(hash) ?? 0) + delta);
  }
  return sums;
}

function merge(
  rows: Uint32Array,
  deltas: ReadonlyMap<number, number>,
): Uint32Array {
  const changed = [...deltas].sort(([a], [b]) => a - b);
  const merged = new Uint32Array(rows.length + changed.length * ROW_FIELDS);
  let read_at = 0;
  let write_at = 0;
  const copyUntil = (until: number) => {
    merged.set(rows.subarray(read_at, until), write_at);
    write_at += until - read_at;
    read_at = until;
  };
  for (const [hash, delta] of changed) {
    copyUntil(lowerBound(rows, hash) * ROW_FIELDS);
    const is_present = rows[read_at] === hash;
    const count = delta + (is_present ? rows[read_at + 1] as number : 0);
    if (is_present) read_at += ROW_FIELDS;
    if (count === 0) continue;
    merged[write_at++] = hash;
    merged[write_at++] = count;
  }
  copyUntil(rows.length);
  // A subarray would keep the longer buffer in memory.
  return write_at === merged.length ? merged : merged.slice(0, write_at);
}
