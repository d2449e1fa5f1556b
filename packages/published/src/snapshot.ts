/** Snapshot: the whole published configuration at one generation.
 *
 * @module
 */
import type {
  Change,
  Key,
  ObjectRef,
  Route,
  Target,
  Version,
} from "@banyanlb/core";
import { invariant } from "@banyanlb/core";
import { BucketMap } from "./bucket_map.ts";
import { MIN_BUCKETS } from "./constants.ts";
import {
  CONFIG_KINDS,
  type ConfigKind,
  isConfigKind,
  type ObjectOfKind,
} from "./kinds.ts";
import { PackedMap } from "./packed_map.ts";
import { internStrings } from "./intern_strings.ts";
import {
  emptyObjects,
  type Entry,
  type EntryEdit,
  keysByHashAfter,
  mapKinds,
  type ObjectMaps,
  type ReferenceCounts,
  referenceCountsAfter,
  REFERENCED_KINDS,
  type ReferencedKind,
} from "./snapshot_edit.ts";
import { targetIndex } from "./target_index.ts";
import { ReferenceCounter } from "./reference_counter.ts";
import { referrersOf } from "./referrers.ts";
import { routesFor, versionsOfWorkspace } from "./workspace_lists.ts";

interface SnapshotFields {
  readonly generation: number;
  readonly objects: ObjectMaps;
  readonly reference_counts: ReferenceCounts;
  readonly keys_by_hash: BucketMap<Key>;
  /** Removed versions (tombstones), by name. */
  readonly retired: PackedMap;
}

/** An immutable set of objects. A change copies only the buckets it touches.
 *
 * @example
 * ```ts
 * const next = Snapshot.empty().apply({
 *   generation: 1,
 *   at_ms: 0,
 *   put: [{ kind: "model", name: "base" }],
 *   remove: [],
 * });
 * next.get("model", "base")?.name; // "base"
 * ```
 */
export class Snapshot {
  /** Generation of this snapshot. */
  readonly generation: number;
  readonly #objects: ObjectMaps;
  readonly #reference_counts: ReferenceCounts;
  readonly #keys_by_hash: BucketMap<Key>;
  readonly #retired: PackedMap;

  private constructor(fields: SnapshotFields) {
    this.generation = fields.generation;
    this.#objects = fields.objects;
    this.#reference_counts = fields.reference_counts;
    this.#keys_by_hash = fields.keys_by_hash;
    this.#retired = fields.retired;
  }

  /** The snapshot before anything was published: generation 0, no objects. */
  static empty(bucket_count: number = MIN_BUCKETS): Snapshot {
    return new Snapshot({
      generation: 0,
      objects: emptyObjects(bucket_count),
      reference_counts: mapKinds(
        REFERENCED_KINDS,
        (kind) =>
          ReferenceCounter.empty(
            kind === "adapter" || kind === "version" ? bucket_count : 1,
          ),
      ),
      keys_by_hash: BucketMap.empty(bucket_count),
      retired: PackedMap.empty(bucket_count),
    });
  }

  /** Number of buckets, a power of two. */
  get bucketCount(): number {
    return this.#objects.workspace.bucketCount;
  }

  /** Number of objects of all kinds. */
  get size(): number {
    return CONFIG_KINDS.reduce((sum, k) => sum + this.#objects[k].size, 0);
  }

  /** The object with this kind and name, if any. */
  get<K extends ConfigKind>(
    kind: K,
    name: string,
  ): ObjectOfKind<K> | undefined {
    const entry = this.#objects[kind].get(name);
    return entry?.object as ObjectOfKind<K> | undefined;
  }

  /** All objects of a kind, in no particular order. */
  *list<K extends ConfigKind>(kind: K): IterableIterator<ObjectOfKind<K>> {
    for (const entry of this.#objects[kind].values()) {
      yield entry.object as ObjectOfKind<K>;
    }
  }

  /** Number of objects of a kind. */
  count(kind: ConfigKind): number {
    return this.#objects[kind].size;
  }

  /** The key with this SHA-256 hash, if any. */
  keyBySha256(hash: string): Key | undefined {
    return this.#keys_by_hash.get(hash);
  }

  /** Generation that last changed an object; `undefined` if the object does not
   * exist. */
  versionOf(kind: ConfigKind, name: string): number | undefined {
    return this.#objects[kind].get(name)?.generation;
  }

  /** Number of objects that refer to an object or a pool. Hash collisions can
   * make it too high, never too low. */
  referenceCount(kind: ReferencedKind, name: string): number {
    return this.#reference_counts[kind].get(name);
  }

  /** Objects that refer to an object or a pool. */
  referrersOf(kind: ReferencedKind, name: string): IterableIterator<Entry> {
    return referrersOf(this.#objects, kind, name);
  }

  /** Routes of a workspace and routes that are open to all workspaces. */
  routesFor(workspace?: string): IterableIterator<Route> {
    return routesFor(this.#objects, workspace);
  }

  /** Versions of the adapters of a workspace. */
  versionsOfWorkspace(workspace: string): IterableIterator<Version> {
    return versionsOfWorkspace(this.#objects, workspace);
  }

  /** Targets of a pool, sorted by name. */
  targetsOfPool(pool: string): readonly Target[] {
    return targetIndex(this.#objects.target).by_pool.get(pool) ?? [];
  }

  /** Engines that run a base model, sorted by name. */
  targetsOfModel(model: string): readonly Target[] {
    return targetIndex(this.#objects.target).by_model.get(model) ?? [];
  }

  /** Entries of one bucket, sorted by kind and name. */
  bucket(index: number): readonly Entry[] {
    return CONFIG_KINDS.flatMap((kind) => {
      const rows = [...this.#objects[kind].bucket(index)];
      return rows.sort((a, b) => a.object.name < b.object.name ? -1 : 1);
    });
  }

  /** The tombstone of a removed version, if any. Engines may still hold its
   * weights under this name. */
  retiredVersion(name: string): Version | undefined {
    return this.#retired.get(name)?.object as Version | undefined;
  }

  /** Tombstones of one bucket, sorted by name. */
  retiredInBucket(index: number): readonly Version[] {
    const rows = [...this.#retired.bucket(index)]
      .map((entry) => entry.object as Version);
    return rows.sort((a, b) => a.name < b.name ? -1 : 1);
  }

  /** Versions of an adapter. */
  versionsOfAdapter(adapter: string): readonly ObjectOfKind<"version">[] {
    const found: ObjectOfKind<"version">[] = [];
    for (const entry of this.#objects.version.candidatesByStem(adapter)) {
      const object = entry.object as ObjectOfKind<"version">;
      if (object.adapter === adapter) found.push(object);
    }
    return found;
  }

  /** All entries of all kinds, in no particular order. */
  *entries(): IterableIterator<Entry> {
    for (const kind of CONFIG_KINDS) yield* this.#objects[kind].values();
  }

  /** The snapshot after a change, whose generation must be above this one's. */
  apply(change: Change): Snapshot {
    invariant(change.generation > this.generation, {
      code: 701,
      message: `generation ${change.generation} after ${this.generation}`,
    });
    const edits = new Map<string, EntryEdit>();
    for (const ref of change.remove) {
      const edit = this.#removalEdit(ref);
      if (edit !== undefined) edits.set(`${edit.kind}/${edit.name}`, edit);
    }
    for (const object of change.put) {
      const entry = { object, generation: change.generation };
      edits.set(`${object.kind}/${object.name}`, this.#putEdit(entry));
    }
    const retired = [...edits.values()]
      .filter((edit) => edit.kind === "version")
      .map(({ name, before, after }) =>
        [name, after === undefined ? before : undefined] as const
      );
    return this.#withEdits([...edits.values()], change.generation, retired);
  }

  /** This snapshot with another generation number. */
  atGeneration(generation: number): Snapshot {
    return this.#withEdits([], generation);
  }

  /** This snapshot without the objects and tombstones of one bucket. */
  withoutBucket(index: number): Snapshot {
    const edits = this.bucket(index).map((before): EntryEdit => {
      const { kind, name } = before.object;
      return { kind, name, before, after: undefined };
    });
    const retired = this.retiredInBucket(index)
      .map(({ name }) => [name, undefined] as const);
    return this.#withEdits(edits, this.generation, retired);
  }

  /** This snapshot at `generation`, with entries added or replaced. Each entry
   * keeps its own generation. */
  withEntries(entries: readonly Entry[], generation: number): Snapshot {
    const edits = entries.map((entry) => this.#putEdit(entry));
    return this.#withEdits(edits, generation);
  }

  /** This snapshot with tombstones added. */
  withRetired(versions: readonly Version[]): Snapshot {
    const retired = versions.map((object) =>
      [object.name, { object, generation: 0 }] as const
    );
    return this.#withEdits([], this.generation, retired);
  }

  #putEdit(entry: Entry): EntryEdit {
    const { kind, name } = entry.object;
    const before = this.#objects[kind].get(name);
    return { kind, name, before, after: entry };
  }

  #removalEdit(ref: ObjectRef): EntryEdit | undefined {
    if (!isConfigKind(ref.kind)) return undefined;
    const before = this.#objects[ref.kind].get(ref.name);
    if (before === undefined) return undefined;
    return { kind: ref.kind, name: ref.name, before, after: undefined };
  }

  #withEdits(
    uninterned: readonly EntryEdit[],
    generation: number,
    retired: Iterable<readonly [string, Entry | undefined]> = [],
  ): Snapshot {
    const edits = uninterned.map((edit) => this.#withInternedStrings(edit));
    const objects = mapKinds(CONFIG_KINDS, (kind) =>
      this.#objects[kind].with(
        edits.filter((e) => e.kind === kind).map((e) => [e.name, e.after]),
      ));
    return new Snapshot({
      generation,
      // `with` returns a map of the same class as its receiver.
      objects: objects as ObjectMaps,
      reference_counts: referenceCountsAfter(this.#reference_counts, edits),
      keys_by_hash: keysByHashAfter(this.#keys_by_hash, edits),
      retired: this.#retired.with(retired),
    });
  }

  #withInternedStrings(edit: EntryEdit): EntryEdit {
    if (edit.after === undefined) return edit;
    const object = internStrings(edit.after.object);
    const after = { object, generation: edit.after.generation };
    return { kind: edit.kind, name: object.name, before: edit.before, after };
  }
}
