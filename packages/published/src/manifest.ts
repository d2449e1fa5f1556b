/** The manifest: the single stored object that defines what is published.
 *
 * @module
 */
import {
  type Change,
  createValidator,
  type Manifest,
  stored_schema,
  type StoreKey,
  type Validator,
} from "@banyanlb/core";
import { bucketOf } from "./persistent_map.ts";
import {
  MIN_BUCKETS,
  RETAINED_INLINE_BYTES,
  RETAINED_RECENT_BYTES,
} from "./constants.ts";
import type { Snapshot } from "./snapshot.ts";

/** Store key of the manifest. */
export const MANIFEST_KEY: StoreKey = { kind: "manifest", name: "manifest" };

/** The manifest before anything was published. */
export const EMPTY_MANIFEST: Manifest = {
  generation: 0,
  write_id: "",
  snapshot_generation: 0,
  parts: new Array<string>(MIN_BUCKETS).fill(""),
  changes: [],
};

/** Validates a manifest read from the store. */
export const checkManifest: Validator<Manifest> = createValidator<Manifest>(
  stored_schema,
  "manifest",
);

/** Size of a change in a manifest, in bytes of JSON. */
export function changeBytes(change: Change): number {
  return Buffer.byteLength(JSON.stringify(change));
}

/** Size of all inline changes of a manifest, in bytes of JSON. */
export function inlineBytes(manifest: Manifest): number {
  return manifest.changes.reduce((sum, c) => sum + changeBytes(c), 0);
}

/** The newest changes that fit into `limit` bytes, oldest first. */
export function newestChanges(
  changes: readonly Change[],
  limit: number = RETAINED_INLINE_BYTES,
): readonly Change[] {
  let bytes = 0;
  let from = changes.length;
  while (from > 0) {
    bytes += changeBytes(changes[from - 1] as Change);
    if (bytes > limit) break;
    from--;
  }
  return changes.slice(from);
}

/** The changes that lead from generation `from` to `to`; `undefined` if some
 * are missing. */
export function changesBetween(
  changes: readonly Change[],
  range: { readonly from: number; readonly to: number },
): readonly Change[] | undefined {
  const selected = changes.filter((c) =>
    c.generation > range.from && c.generation <= range.to
  );
  const is_complete = selected.length === range.to - range.from &&
    selected.every((c, i) => c.generation === range.from + 1 + i);
  return is_complete ? selected : undefined;
}

/** Applies changes in their order. */
export function applyAll(
  snapshot: Snapshot,
  changes: readonly Change[],
): Snapshot {
  return changes.reduce((set, change) => set.apply(change), snapshot);
}

/** Indexes of the buckets that changes affect. */
export function touchedBuckets(
  changes: readonly Change[],
  bucket_count: number,
): ReadonlySet<number> {
  const names = changes.flatMap((c) => [...c.put, ...c.remove])
    .map((row) => row.name);
  return new Set(names.map((name) => bucketOf(name, bucket_count)));
}

/** Merges newly received changes into those retained for peers. */
export function mergeRecent(
  retained: readonly Change[],
  added: readonly Change[],
): readonly Change[] {
  const known = new Set(retained.map((c) => c.generation));
  const missing = added.filter((c) => !known.has(c.generation));
  return newestChanges([...retained, ...missing], RETAINED_RECENT_BYTES);
}
