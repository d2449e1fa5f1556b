/** Builds large snapshots without blocking the event loop for long.
 *
 * @module
 */
import type { Part } from "@banyanlb/core";
import { setImmediate } from "node:timers/promises";
import { OBJECTS_PER_TURN } from "./constants.ts";
import type { Snapshot } from "./snapshot.ts";

/** Adds buckets to a snapshot, a limited number of objects per event-loop turn.
 * Calls for different buckets may overlap.
 *
 * @example
 * ```ts
 * const builder = new SnapshotBuilder(Snapshot.empty(), 7);
 * await builder.replace(0, part);
 * builder.snapshot.generation; // 7
 * ```
 */
export class SnapshotBuilder {
  readonly #generation: number;
  #snapshot: Snapshot;

  constructor(base: Snapshot, generation: number) {
    this.#snapshot = base;
    this.#generation = generation;
  }

  /** The snapshot built so far. */
  get snapshot(): Snapshot {
    return this.#snapshot.atGeneration(this.#generation);
  }

  /** Replaces the content of one bucket by a part. */
  async replace(index: number, part: Part): Promise<void> {
    this.#snapshot = this.#snapshot.withoutBucket(index);
    await this.put(part);
  }

  /** Adds the objects and tombstones of a part. */
  async put(part: Part): Promise<void> {
    const { objects, generations, retired = [] } = part;
    for (let i = 0; i < objects.length; i += OBJECTS_PER_TURN) {
      // Yield to the event loop, so that lease renewals and requests do not
      // wait for the whole part.
      await setImmediate();
      const entries = objects.slice(i, i + OBJECTS_PER_TURN).map((
        object,
        k,
      ) => ({
        object,
        generation: generations?.[i + k] ?? 0,
      }));
      this.#snapshot = this.#snapshot.withEntries(entries, this.#generation);
    }
    if (retired.length === 0) return;
    this.#snapshot = this.#snapshot.withRetired(retired);
  }
}
