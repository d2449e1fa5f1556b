/** Finds the objects that refer to a given object or pool without unpacking all
 * objects.
 *
 * @module
 */
import { referencesOf } from "./kinds.ts";
import type { PackedObject } from "./packed_record.ts";
import type { Entry, ObjectMaps, ReferencedKind } from "./snapshot_edit.ts";

const UNPACKED_KINDS = ["workspace", "model", "key", "target"] as const;
const PACKED_KINDS = ["adapter", "version", "route"] as const;

/** Objects that refer to an object or a pool. */
export function* referrersOf(
  objects: ObjectMaps,
  kind: ReferencedKind,
  name: string,
): IterableIterator<Entry> {
  const refersToName = (object: Entry["object"] | PackedObject) =>
    referencesOf(object).some((r) => r.kind === kind && r.name === name);
  for (const entry of candidates(objects, { kind, name, refersToName })) {
    if (refersToName(entry.object)) yield entry;
  }
}

function* candidates(
  objects: ObjectMaps,
  referenced: {
    readonly kind: ReferencedKind;
    readonly name: string;
    readonly refersToName: (object: PackedObject) => boolean;
  },
): IterableIterator<Entry> {
  for (const kind of UNPACKED_KINDS) yield* objects[kind].values();
  for (const kind of PACKED_KINDS) {
    // A shape contains all references of its objects except those to adapters
    // and versions.
    yield* referenced.kind === "adapter" || referenced.kind === "version"
      ? objects[kind].candidatesMentioning(referenced.name)
      : objects[kind].candidatesByShape(referenced.refersToName);
  }
}
