/** Edits: the changes that operators submit for publishing.
 *
 * @module
 */
import type { Change, ConfigObject } from "@banyanlb/core";
import { err, type Result } from "neverthrow";
import { checkChange } from "./check.ts";
import {
  editConflict,
  type ObjectConflict,
  type PublishError,
  rejected,
} from "./errors.ts";
import type { ConfigKind } from "./kinds.ts";
import type { Snapshot } from "./snapshot.ts";

/** An object to create or replace, and the generation that the edit is based
 * on. */
export interface PutEdit {
  readonly object: ConfigObject;
  /** Generation that last changed the object; `null`: the object must not
   * exist. */
  readonly base: number | null;
}

/** An object to remove, and the generation that the edit is based on. */
export interface RemoveEdit {
  readonly kind: ConfigKind;
  readonly name: string;
  readonly base: number;
}

/** A set of edits that an operator submits. It is published atomically. */
export interface Edits {
  readonly put: readonly PutEdit[];
  readonly remove: readonly RemoveEdit[];
}

/** Converts edits into a change of the given snapshot. */
export function toChange(
  edits: Edits,
  snapshot: Snapshot,
  write_id: string,
): Change {
  return {
    generation: snapshot.generation + 1,
    put: edits.put.map((edit) => edit.object),
    remove: edits.remove.map(({ kind, name }) => ({ kind, name })),
    at_ms: Date.now(),
    write_id,
  };
}

/** Checks that the bases of the edits are current, then validates the
 * configuration after the change. */
export function checkEdits(
  snapshot: Snapshot,
  edits: Edits,
  change: Change,
): Result<void, PublishError> {
  const conflicts = findConflicts(snapshot, edits);
  if (conflicts.length > 0) return err(editConflict(conflicts));
  return checkChange(snapshot, change).mapErr(rejected);
}

function findConflicts(
  snapshot: Snapshot,
  edits: Edits,
): readonly ObjectConflict[] {
  const bases = [
    ...edits.put.map(({ object, base }) => ({
      kind: object.kind,
      name: object.name,
      base,
    })),
    ...edits.remove,
  ];
  return bases
    .map(({ kind, name, base }) => {
      const current = snapshot.versionOf(kind, name) ?? null;
      return { kind, name, base, current };
    })
    .filter((row) => row.base !== row.current);
}
