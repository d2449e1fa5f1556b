/** Which instance orders at which engine.
 *
 * @module
 */
import { hashToUnit } from "@banyanlb/core";

/** The owners of engines, by the engine's key. */
export type Assignment = Readonly<Record<string, string>>;

/** Gives the `open` engines to `members`: to the one with the fewest engines,
 * then by hash. Those of `kept` stay where they are, since each move costs
 * a pause in orders.
 *
 * @example
 * ```ts
 * planAssignment({}, ["e-1", "e-2"], ["a", "b"]); // one engine for each
 * ```
 */
export function planAssignment(
  kept: Assignment,
  open: readonly string[],
  members: readonly string[],
): Assignment {
  const counts = new Map(members.map((name) => [name, 0]));
  for (const owner of Object.values(kept)) {
    const count = counts.get(owner);
    if (count !== undefined) counts.set(owner, count + 1);
  }
  const planned: Record<string, string> = {};
  for (const engine of [...open].sort()) {
    const owner = leastLoaded(engine, counts);
    if (owner === undefined) continue;
    planned[engine] = owner;
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
  }
  return planned;
}

function leastLoaded(
  engine: string,
  counts: ReadonlyMap<string, number>,
): string | undefined {
  let best: string | undefined;
  let bestCount = Infinity;
  let bestHash = 0;
  for (const [name, count] of counts) {
    const hash = hashToUnit(`${engine} ${name}`);
    if (count < bestCount || (count === bestCount && hash > bestHash)) {
      best = name;
      bestCount = count;
      bestHash = hash;
    }
  }
  return best;
}
