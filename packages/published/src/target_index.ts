/** Index of the targets by pool and by base model, built once for each set of
 * targets.
 *
 * @module
 */
import type { Target } from "@banyanlb/core";
import type { BucketMap } from "./bucket_map.ts";
import type { Entry } from "./snapshot_edit.ts";

/** Targets of each pool and engines of each base model, sorted by name. */
export interface TargetIndex {
  readonly by_pool: ReadonlyMap<string, readonly Target[]>;
  readonly by_model: ReadonlyMap<string, readonly Target[]>;
}

const indexes = new WeakMap<BucketMap<Entry>, TargetIndex>();

function groupBy(
  targets: readonly Target[],
  groupNameOf: (target: Target) => string | undefined,
): ReadonlyMap<string, readonly Target[]> {
  const groups = new Map<string, Target[]>();
  for (const target of targets) {
    const group = groupNameOf(target);
    if (group === undefined) continue;
    const members = groups.get(group);
    if (members === undefined) groups.set(group, [target]);
    else members.push(target);
  }
  return groups;
}

/** The index of a set of targets, cached for as long as the set exists. */
export function targetIndex(entries: BucketMap<Entry>): TargetIndex {
  const cached = indexes.get(entries);
  if (cached !== undefined) return cached;
  const targets = [...entries.values()].map((e) => e.object as Target);
  targets.sort((a, b) => a.name < b.name ? -1 : 1);
  const index = {
    by_pool: groupBy(targets, (t) => t.pool),
    by_model: groupBy(targets, (t) => t.model),
  };
  indexes.set(entries, index);
  return index;
}
