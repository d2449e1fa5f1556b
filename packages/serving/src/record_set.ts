/** All records of one kind, merged from replies of the store and of peers.
 *
 * Replies arrive in any order, and each may be out of date or incomplete. The
 * set keeps these invariants:
 *
 * 1. A record is never replaced by an older one, and a removed record does not
 *    return without a newer revision.
 * 2. Everything that the store held at `completeRevision` is in the set, or was
 *    changed or removed since.
 *
 * @module
 */
import { addFingerprints, fingerprintOf } from "./fingerprint.ts";
import type {
  RecordChange,
  RecordList,
  RecordRemoval,
  StoredRecord,
} from "./ports.ts";

/** The newest known records of one kind. */
export class RecordSet {
  #records: ReadonlyMap<string, StoredRecord> = new Map();
  /** Revisions at which records were removed since `completeRevision`. */
  readonly #removals = new Map<string, number>();
  #completeRevision = 0;
  #newestRevision = 0;
  #fingerprint = 0;
  /** Number of times that records were changed or removed. */
  #changes = 0;

  /** The records by name. */
  get records(): ReadonlyMap<string, StoredRecord> {
    return this.#records;
  }

  /** The revision of the newest complete list that was merged. */
  get completeRevision(): number {
    return this.#completeRevision;
  }

  /** The highest revision among the records. */
  get newestRevision(): number {
    return this.#newestRevision;
  }

  /** Equal for two sets with the same records in the same revisions. */
  get fingerprint(): number {
    return this.#fingerprint;
  }

  /** The revision at which a record was removed; the store's revision if the
   * removal shows only from a complete list. */
  removalRevisionOf(name: string): number {
    return this.#removals.get(name) ?? this.#completeRevision;
  }

  /** Differs after each change of what `snapshot` returns. */
  get stateId(): string {
    return `${this.#completeRevision} ${this.#changes}`;
  }

  /** The whole set, to be merged by a peer. */
  snapshot(): RecordList {
    return {
      records: [...this.#records.values()],
      revision: this.#completeRevision,
      removals: [...this.#removals].map(([name, revision]) => ({
        name,
        revision,
      })),
    };
  }

  /** Merges a complete list, from the store or from a peer; returns whether the
   * records have changed.
   *
   * @example
   * ```ts
   * set.mergeList(await store.list("engines"));
   * ```
   */
  mergeList(list: RecordList): boolean {
    const next = new Map(this.#records);
    const listedNames = new Set<string>();
    let isChanged = false;
    for (const record of list.records) {
      listedNames.add(record.name);
      if (!this.#isNewer(record)) continue;
      next.set(record.name, record);
      isChanged = true;
    }
    for (const { name, revision } of this.#records.values()) {
      if (listedNames.has(name) || revision > list.revision) continue;
      next.delete(name);
      isChanged = true;
    }
    for (const removal of list.removals ?? []) {
      if (this.#remove(next, removal)) isChanged = true;
    }
    if (list.revision > this.#completeRevision) {
      this.#completeRevision = list.revision;
      // Older records that are not in the set are known to be removed.
      for (const [name, revision] of this.#removals) {
        if (revision <= list.revision) this.#removals.delete(name);
      }
    }
    if (isChanged) this.#setRecords(next);
    return isChanged;
  }

  /** Merges changes that a watch reported; returns whether the records have
   * changed. */
  mergeChanges(changes: readonly RecordChange[]): boolean {
    const next = new Map(this.#records);
    let isChanged = false;
    for (const { removed, record } of changes) {
      const { name, revision } = record;
      if (removed) {
        if (this.#remove(next, { name, revision })) isChanged = true;
      } else if (this.#isNewer(record, next)) {
        next.set(name, record);
        isChanged = true;
      }
    }
    if (isChanged) this.#setRecords(next);
    return isChanged;
  }

  #isNewer(
    { name, revision }: StoredRecord,
    records: ReadonlyMap<string, StoredRecord> = this.#records,
  ): boolean {
    const current = records.get(name);
    if (current !== undefined) return revision > current.revision;
    return revision > this.removalRevisionOf(name);
  }

  /** Removes a record, unless it is newer than the removal. */
  #remove(
    records: Map<string, StoredRecord>,
    { name, revision }: RecordRemoval,
  ): boolean {
    const current = records.get(name);
    if (current !== undefined && current.revision > revision) return false;
    if (revision > this.removalRevisionOf(name)) {
      this.#removals.set(name, revision);
    }
    return records.delete(name);
  }

  /** Puts records in force. Their newest revision and fingerprint are computed
   * here once, since peers are told them often. */
  #setRecords(records: ReadonlyMap<string, StoredRecord>): void {
    this.#records = records;
    this.#changes += 1;
    this.#newestRevision = 0;
    this.#fingerprint = 0;
    for (const { revision } of records.values()) {
      this.#newestRevision = Math.max(this.#newestRevision, revision);
      this.#fingerprint = addFingerprints(
        this.#fingerprint,
        fingerprintOf(revision),
      );
    }
  }
}
