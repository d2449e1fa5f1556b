/** Removes parts that the manifest no longer references.
 *
 * @module
 */
import type { Clock, Manifest, ObjectStore } from "@banyanlb/core";
import {
  MAX_REMOVALS_PER_COMPACTION,
  PART_RETENTION_MS,
  PUBLISH_CALL_TIMEOUT_MS,
} from "./constants.ts";
import { MANIFEST_KEY } from "./manifest.ts";

const OPTIONS = { timeout_ms: PUBLISH_CALL_TIMEOUT_MS };

/** Removes parts that have been unreferenced, as seen by this process, for
 * longer than a read or a compaction can take. */
export class PartCollector {
  readonly #store: ObjectStore;
  readonly #clock: Clock;
  #unreferenced: ReadonlyMap<string, number> = new Map();

  constructor(store: ObjectStore, clock: Clock) {
    this.#store = store;
    this.#clock = clock;
  }

  /** Updates the list of unreferenced parts and removes those past their
   * retention time. */
  async collect(): Promise<void> {
    // The parts are listed before the manifest is read: a part listed after the
    // read could belong to a compaction that finished in between.
    const listed = await this.#store.list("part", OPTIONS);
    const manifest = await this.#store.get<Manifest>(MANIFEST_KEY, OPTIONS);
    if (listed.isErr() || manifest.isErr()) return;
    const referenced = new Set(manifest.value.value.parts);
    const now = this.#clock.now();
    const first_seen = this.#unreferenced;
    this.#unreferenced = new Map(
      listed.value
        .filter((name) => !referenced.has(name))
        .map((name) => [name, first_seen.get(name) ?? now]),
    );
    const expired = [...this.#unreferenced]
      .filter(([, since]) => now - since >= PART_RETENTION_MS)
      .slice(0, MAX_REMOVALS_PER_COMPACTION);
    for (const [name] of expired) await this.#remove(name);
  }

  async #remove(name: string): Promise<void> {
    const key = { kind: "part", name } as const;
    const read = await this.#store.get(key, OPTIONS);
    if (read.isOk()) {
      await this.#store.remove(key, read.value.version, OPTIONS);
    }
  }
}
