/** Compacts the inline changes of the manifest into parts.
 *
 * @module
 */
import type {
  Change,
  Clock,
  EventLog,
  Manifest,
  Metrics,
  ObjectStore,
  StoreError,
  Versioned,
} from "@banyanlb/core";
import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { MAX_INLINE_BYTES, PUBLISH_CALL_TIMEOUT_MS } from "./constants.ts";
import { CHANGES_COMPACTED, COMPACTION_FAILED } from "./events.ts";
import {
  changeBytes,
  inlineBytes,
  MANIFEST_KEY,
  newestChanges,
  touchedBuckets,
} from "./manifest.ts";
import { PartCollector } from "./part_collector.ts";
import { withEnoughBuckets, writeParts } from "./parts.ts";
import type { Snapshot } from "./snapshot.ts";

/** If the inline changes exceed this many bytes, a publish compacts them before
 * it writes the manifest. */
const MAX_UNCOMPACTED_BYTES = 4 * MAX_INLINE_BYTES;

/** Dependencies of a {@linkcode ManifestCompactor}. */
export interface ManifestCompactorDeps {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** A change and the snapshot that results from it. */
export interface ChangedSnapshot {
  readonly change: Change;
  readonly snapshot: Snapshot;
}

/** A manifest and the snapshot that it publishes. */
export interface PlannedManifest {
  readonly manifest: Manifest;
  readonly snapshot: Snapshot;
}

/** Keeps the manifest small by moving inline changes into parts. */
export class ManifestCompactor {
  readonly #deps: ManifestCompactorDeps;
  readonly #collector: PartCollector;
  #task: Promise<void> | undefined;

  constructor(deps: ManifestCompactorDeps) {
    this.#deps = deps;
    this.#collector = new PartCollector(deps.store, deps.clock);
  }

  /** Adds a change to a manifest: inline, or compacted into parts at once if
   * the change or the sum of the inline changes is large. */
  async extend(
    base: Manifest,
    next: ChangedSnapshot,
  ): Promise<Result<PlannedManifest, StoreError>> {
    const { change, snapshot } = next;
    const manifest = {
      ...base,
      generation: change.generation,
      write_id: change.write_id ?? randomUUID(),
      changes: [...base.changes, change],
    };
    const fits_inline = changeBytes(change) <= MAX_INLINE_BYTES &&
      inlineBytes(manifest) <= MAX_UNCOMPACTED_BYTES;
    if (fits_inline) return ok({ manifest, snapshot });
    return await this.#compact(manifest, snapshot);
  }

  /** Starts compacting a published manifest in the background if its inline
   * changes are large. The generation does not change, so followers and
   * publishers need not wait for the compaction. */
  compactIfLarge(published: Versioned<Manifest>, snapshot: Snapshot): void {
    if (this.#task !== undefined) return;
    if (inlineBytes(published.value) <= MAX_INLINE_BYTES) return;
    this.#task = this.#compactPublished(published, snapshot)
      .catch((err) => this.#deps.log.write(COMPACTION_FAILED, { err }))
      .finally(() => this.#task = undefined);
  }

  /** Waits for the compaction in progress, if any. */
  async waitForCompaction(): Promise<void> {
    await this.#task;
  }

  /** Waits for the compaction in progress, if any. */
  async close(): Promise<void> {
    await this.waitForCompaction();
  }

  async #compactPublished(
    published: Versioned<Manifest>,
    snapshot: Snapshot,
  ): Promise<void> {
    const { store, log, metrics } = this.#deps;
    const compacted = await this.#compact(published.value, snapshot);
    const written = compacted.isErr()
      ? err(compacted.error)
      : await store.update(
        MANIFEST_KEY,
        {
          version: published.version,
          value: { ...compacted.value.manifest, write_id: randomUUID() },
        },
        { timeout_ms: PUBLISH_CALL_TIMEOUT_MS },
      );
    metrics.count("publish.fold", {
      outcome: written.isOk() ? "folded" : written.error.kind,
    });
    if (written.isErr()) {
      log.write(COMPACTION_FAILED, { error: written.error });
      return;
    }
    log.write(CHANGES_COMPACTED, { generation: snapshot.generation });
    await this.#collector.collect();
  }

  async #compact(
    manifest: Manifest,
    current: Snapshot,
  ): Promise<Result<PlannedManifest, StoreError>> {
    const uncompacted = manifest.changes
      .filter((c) => c.generation > manifest.snapshot_generation);
    const snapshot = await withEnoughBuckets(current, uncompacted);
    const changed_buckets = touchedBuckets(uncompacted, snapshot.bucketCount);
    const plan = { known: manifest.parts, changed_buckets };
    const parts = await writeParts(this.#deps.store, snapshot, plan);
    return parts.map((names) => ({
      manifest: {
        ...manifest,
        snapshot_generation: snapshot.generation,
        parts: names,
        changes: newestChanges(manifest.changes),
      },
      snapshot,
    }));
  }
}
