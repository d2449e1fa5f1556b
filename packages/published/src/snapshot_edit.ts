/** Applies the edits of a change to the maps and indexes of a snapshot.
 *
 * @module
 */
import type { ConfigObject, Key } from "@banyanlb/core";
import { BucketMap } from "./bucket_map.ts";
import { CONFIG_KINDS, type ConfigKind, referencesOf } from "./kinds.ts";
import { PackedMap } from "./packed_map.ts";
import type { ReferenceCounter } from "./reference_counter.ts";

/** An object and the generation that last changed it. */
export interface Entry {
  readonly object: ConfigObject;
  readonly generation: number;
}

/** Kinds with potentially very many objects, which are stored packed. */
export type PackedKind = "adapter" | "version" | "route";

/** The objects of each kind, by name. */
export type ObjectMaps =
  & Readonly<Record<PackedKind, PackedMap>>
  & Readonly<Record<Exclude<ConfigKind, PackedKind>, BucketMap<Entry>>>;
/** Kinds of things that objects can refer to. */
export type ReferencedKind = ConfigKind | "pool";
/** For each kind, the number of objects that refer to each name. */
export type ReferenceCounts = Readonly<
  Record<ReferencedKind, ReferenceCounter>
>;

/** Maps without objects. */
export function emptyObjects(bucket_count: number): ObjectMaps {
  return {
    workspace: BucketMap.empty(bucket_count),
    model: BucketMap.empty(bucket_count),
    key: BucketMap.empty(bucket_count),
    adapter: PackedMap.empty(bucket_count),
    version: PackedMap.empty(bucket_count),
    route: PackedMap.empty(bucket_count),
    target: BucketMap.empty(bucket_count),
  };
}

/** The change of one object: its entry before and after. `undefined`: no such
 * object. */
export interface EntryEdit {
  readonly kind: ConfigKind;
  readonly name: string;
  readonly before: Entry | undefined;
  readonly after: Entry | undefined;
}

/** All kinds of things that objects can refer to. */
export const REFERENCED_KINDS: readonly ReferencedKind[] = [
  ...CONFIG_KINDS,
  "pool",
];

/** Builds a record with a value for each kind. */
export function mapKinds<K extends string, V>(
  kinds: readonly K[],
  build: (kind: K) => V,
): Readonly<Record<K, V>> {
  const rows = kinds.map((kind) => [kind, build(kind)] as const);
  return Object.fromEntries(rows) as Record<K, V>;
}

/** Reference counts after edits. */
export function referenceCountsAfter(
  before: ReferenceCounts,
  edits: readonly EntryEdit[],
): ReferenceCounts {
  const deltas = mapKinds(REFERENCED_KINDS, () => new Map<string, number>());
  const addReferences = (entry: Entry | undefined, by: number) => {
    if (entry === undefined) return;
    for (const { kind, name } of referencesOf(entry.object)) {
      deltas[kind].set(name, (deltas[kind].get(name) ?? 0) + by);
    }
  };
  for (const edit of edits) {
    addReferences(edit.before, -1);
    addReferences(edit.after, 1);
  }
  return mapKinds(
    REFERENCED_KINDS,
    (kind) => before[kind].add([...deltas[kind]].filter(([, by]) => by !== 0)),
  );
}

/** Index of the keys by hash after edits. */
export function keysByHashAfter(
  keys: BucketMap<Key>,
  edits: readonly EntryEdit[],
): BucketMap<Key> {
  const rows = new Map<string, Key | undefined>();
  // Old hashes are removed first, since another key may take over a hash in the
  // same change.
  for (const { before } of edits) {
    const key = before?.object;
    if (key?.kind !== "key") continue;
    const holder = keys.get(key.sha256);
    if (holder?.name === key.name) rows.set(key.sha256, undefined);
  }
  for (const { after } of edits) {
    const key = after?.object;
    if (key?.kind === "key") rows.set(key.sha256, key);
  }
  return keys.with(rows);
}
