/** Remembers the owners of engines that are missing for a short time or that
 * start again.
 *
 * @module
 */
import type { Assignment } from "./assignment.ts";

/** How long an engine that is no longer listed keeps its owner, in milliseconds.
 * Entries that lapse while the store is down are back within two seconds of its
 * return. It is longer than the time that must pass between the orders of two
 * owners, so that an owner whose engine is forgotten has stopped long before. */
const FORGOTTEN_AFTER_MS = 5000;

/** Decides which owners engines keep. Another owner would take turns with the
 * former one, which may still send orders. */
export class OwnerMemory {
  readonly #missingSince = new Map<string, number>();

  /** The owners that engines keep: those of before, also of engines that are
   * missing since a short time, and for an engine that was started again under
   * its id the owner of the former start.
   *
   * @example
   * ```ts
   * memory.keep({ "e@1": "m" }, [{ key: "e@2", id: "e" }], 0);
   * // { "e@1": "m", "e@2": "m" }
   * ```
   */
  keep(
    current: Assignment,
    engines: readonly { readonly key: string; readonly id: string }[],
    now: number,
  ): Assignment {
    const ownersById = new Map(
      Object.entries(current).map(([key, owner]) => [idOf(key), owner]),
    );
    const kept: Record<string, string> = {};
    for (const { key, id } of engines) {
      this.#missingSince.delete(key);
      const owner = current[key] ?? ownersById.get(id);
      if (owner !== undefined) kept[key] = owner;
    }
    for (const key of this.#missingSince.keys()) {
      if (current[key] === undefined) this.#missingSince.delete(key);
    }
    for (const [key, owner] of Object.entries(current)) {
      if (kept[key] !== undefined) continue;
      const since = this.#missingSince.get(key) ?? now;
      this.#missingSince.set(key, since);
      if (now - since < FORGOTTEN_AFTER_MS) kept[key] = owner;
    }
    return kept;
  }
}

/** The id in an engine's key, which the time of its start follows. */
function idOf(key: string): string {
  return key.slice(0, key.lastIndexOf("@"));
}
