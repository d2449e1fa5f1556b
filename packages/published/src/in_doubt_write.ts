/** Resolves a write whose reply was lost: did it take effect?
 *
 * @module
 */
import type { Manifest } from "@banyanlb/core";

/** A conditional update whose reply was lost. */
export interface InDoubtWrite {
  /** Manifest version that the update was based on; `undefined`: the write was
   * to create the manifest. */
  readonly base_version: string | undefined;
  /** Generation that the update would have published. */
  readonly generation: number;
}

/** What a later read of the manifest shows about the write. `none`: no write is
 * in doubt. `open`: it may still take effect. `excluded`: it can no longer
 * take effect. `unknown`: later changes have removed what would show the
 * outcome. */
export type Resolution =
  | { readonly state: "published"; readonly generation: number }
  | { readonly state: "none" | "open" | "excluded" | "unknown" };

/** Compares the write's id, base version and generation with a manifest that
 * was read after it. */
export function resolveInDoubtWrite(
  doubt: InDoubtWrite | undefined,
  read: { readonly version: string | undefined; readonly manifest: Manifest },
  write_id: string,
): Resolution {
  if (doubt === undefined) return { state: "none" };
  const { manifest } = read;
  const change = manifest.changes.find((c) => c.write_id === write_id);
  if (change !== undefined) {
    return { state: "published", generation: change.generation };
  }
  if (manifest.write_id === write_id) {
    return { state: "published", generation: doubt.generation };
  }
  // The manifest still has the base version, so the update may still arrive and
  // succeed.
  if (read.version === doubt.base_version) return { state: "open" };
  const was_overtaken = manifest.changes
    .some((c) => c.generation === doubt.generation);
  const is_not_reached = manifest.generation < doubt.generation;
  return { state: was_overtaken || is_not_reached ? "excluded" : "unknown" };
}
