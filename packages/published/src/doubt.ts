/** Whether a write whose answer was lost took effect.
 *
 * @module
 */
import type { Manifest } from "@banyanlb/core";

/** A conditional update whose answer was lost. */
export interface InDoubtWrite {
  /** Version the update was based on; `undefined`: it was to create. */
  readonly base_version: string | undefined;
  /** Generation that the update would have published. */
  readonly generation: number;
}

/** What a later read of the manifest shows. `open`: the write may still take
 * effect. `excluded`: it never will. `unknown`: nothing is left to tell. */
export type Resolution =
  | { readonly state: "published"; readonly generation: number }
  | { readonly state: "none" | "open" | "excluded" | "unknown" };

/** Compares the write's id and base with the manifest read since. */
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
  // The update names this version, so it may still be under way.
  if (read.version === doubt.base_version) return { state: "open" };
  const was_overtaken = manifest.changes
    .some((c) => c.generation === doubt.generation);
  const is_not_reached = manifest.generation < doubt.generation;
  return { state: was_overtaken || is_not_reached ? "excluded" : "unknown" };
}
