/** Loads the snapshot that a manifest publishes.
 *
 * @module
 */
import type { Manifest, ObjectStore, StoreError } from "@banyanlb/core";
import { err, ok, type Result } from "neverthrow";
import { applyAll, changesBetween } from "./manifest.ts";
import { readSnapshot, rebucket } from "./parts.ts";
import type { Snapshot } from "./snapshot.ts";

/** Loads the snapshot that a manifest publishes: applies the inline changes to
 * `base` if they suffice, else reads the parts that differ from `base`.
 * Errors: those of the store; `invalid` if changes are missing. */
export async function loadSnapshot(
  store: ObjectStore,
  manifest: Manifest,
  base: Snapshot | undefined,
): Promise<Result<Snapshot, StoreError>> {
  const inline = await applyInline(manifest, base);
  if (inline !== undefined) return ok(inline);
  const read = await readSnapshot(store, manifest, base);
  if (read.isErr()) return err(read.error);
  const loaded = await applyInline(manifest, read.value);
  if (loaded !== undefined) return ok(loaded);
  return err({
    kind: "invalid",
    message: "manifest lacks changes between its parts and its generation",
  });
}

async function applyInline(
  manifest: Manifest,
  base: Snapshot | undefined,
): Promise<Snapshot | undefined> {
  if (base === undefined || base.generation > manifest.generation) {
    return undefined;
  }
  const range = { from: base.generation, to: manifest.generation };
  const changes = changesBetween(manifest.changes, range);
  if (changes === undefined) return undefined;
  return await rebucket(applyAll(base, changes), manifest.parts.length);
}
