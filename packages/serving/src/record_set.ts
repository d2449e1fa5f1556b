/** All records of one kind, merged from replies of the store and of peers.
 *
 * Replies arrive in any order, and each may be out of date or incomplete. The
 * set keeps these invariants:
 *
 * 1. A record is never replaced by an older one, and a removed record does not
 *    return without a newer revision.
 * 2. Everything that the store held at `completeRevision` is in the set, or was
 *    changed or removed since.
 * 3. A store that comes back from an older copy undoes no change, until it is
 *    clear that the change is not written again.
 *
 * @module
 */
import {
  addFingerprints,
  fingerprintOf,
  fingerprintOfText,
} from "./fingerprint.ts";
import type {
  RecordChange,
  RecordList,
  RecordRemoval,
  StoredRecord,
} from "./ports.ts";
import { LostChanges } from "./store_era/lost_changes.ts";
import { eraOf } from "./store_era/store_revision.ts";

/** What is known of the records of a kind beyond their revisions. */
export interface RecordSetOptions {
  /** How far the writer of a record had come, as numbers of which the first that
   * differs decides; undefined if the record does not tell. An older copy of the
   * record, which a restored store holds, does not replace it. */
  readonly progressOf?: (
    record: StoredRecord,
  ) => readonly number[] | undefined;
  /** How long a record is kept that a restored store lacks, in milliseconds. */
  readonly keptMs?: number;
  /** How long a record stays removed that a restored store holds again, in
   * milliseconds. */
  readonly hiddenMs?: number;
  /** How long a record counts of which a restored store holds an older copy, in
   * milliseconds; without end if omitted. */
  readonly aheadMs?: number;
}

/** The newest known records of one kind. */
export class RecordSet {
  readonly #progressOf: NonNullable<RecordSetOptions["progressOf"]>;
  readonly #lost: LostChanges;
  #records: ReadonlyMap<string, StoredRecord> = new Map();
  /** Revisions at which records were removed since `completeRevision`. */
  readonly #removals = new Map<string, number>();
  #completeRevision = 0;
  #newestRevision = 0;
  #fingerprint = 0;
  /** Whether the store holds older copies of some records. */
  #hasLostRecords = false;
  /** Number of times that records were changed or removed. */
  #changes = 0;

  constructor(options: RecordSetOptions = {}) {
    const { progressOf, keptMs = 0, hiddenMs = 0, aheadMs = Infinity } =
      options;
    this.#progressOf = progressOf ?? (() => undefined);
    this.#lost = new LostChanges({ keptMs, hiddenMs, aheadMs });
  }

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

  /** The revision that is reported to peers. It is higher than that of a set of
   * the same age which lacks what the store has lost. */
  get reportedRevision(): number {
    return this.#newestRevision + (this.#hasLostRecords ? 1 : 0);
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
  mergeList(list: RecordList, now = performance.now()): boolean {
    if (this.#beginsEra(list)) this.#lost.beginEra(list, this.#records, now);
    const next = new Map(this.#records);
    const listedNames = new Set<string>();
    let isChanged = false;
    for (const record of list.records) {
      const { name } = record;
      listedNames.add(name);
      const state = this.#lost.stateOf(record, now);
      if (state === "hidden") continue;
      const isOfEra = eraOf(record.revision) === eraOf(list.revision);
      if (isOfEra) this.#lost.forget(name);
      const current = this.#records.get(name);
      const isOverdue = isOfEra && current?.isLost === true &&
        record.isLost !== true && !this.#lost.isAhead(now);
      if (
        this.#isNewer(record) || isOverdue ||
        (state === "released" && current === undefined)
      ) {
        next.set(name, record);
        isChanged = true;
      } else if (current !== undefined && current.revision < record.revision) {
        // The store holds an older copy. What is known counts as of this list.
        const revision = Math.max(list.revision, record.revision);
        next.set(name, { ...current, revision, isLost: true });
        isChanged = true;
      }
    }
    for (const record of this.#records.values()) {
      const { name, revision } = record;
      if (listedNames.has(name) || revision > list.revision) continue;
      if (this.#lost.keeps(name, now)) continue;
      next.delete(name);
      this.#lost.recordRemoval(record, now);
      isChanged = true;
    }
    for (const removal of list.removals ?? []) {
      if (this.#remove(next, removal, now)) isChanged = true;
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
  mergeChanges(
    changes: readonly RecordChange[],
    now = performance.now(),
  ): boolean {
    const next = new Map(this.#records);
    let isChanged = false;
    for (const { removed, record } of changes) {
      const { name, revision } = record;
      if (removed) {
        if (this.#remove(next, { name, revision }, now)) isChanged = true;
      } else if (this.#isNewer(record, next)) {
        this.#lost.forget(name);
        next.set(name, record);
        isChanged = true;
      }
    }
    if (isChanged) this.#setRecords(next);
    return isChanged;
  }

  /** Whether a list is the first of a new era of the store. */
  #beginsEra(list: RecordList): boolean {
    const known = Math.max(this.#completeRevision, this.#newestRevision);
    return known > 0 && eraOf(list.revision) > eraOf(known);
  }

  #isNewer(
    record: StoredRecord,
    records: ReadonlyMap<string, StoredRecord> = this.#records,
  ): boolean {
    const { name, revision } = record;
    const current = records.get(name);
    if (current === undefined) return revision > this.removalRevisionOf(name);
    if (revision < current.revision) return false;
    if (revision === current.revision) {
      // Of two records under one revision one counts as of a list.
      return (record.isLost === true || current.isLost === true) &&
        this.#isAhead(record, current);
    }
    return eraOf(revision) === eraOf(current.revision) ||
      !this.#isAhead(current, record);
  }

  /** Whether the writer of `a` had come farther than that of `b`. */
  #isAhead(a: StoredRecord, b: StoredRecord): boolean {
    const progressOfA = this.#progressOf(a);
    const progressOfB = this.#progressOf(b);
    if (progressOfA === undefined || progressOfB === undefined) return false;
    for (const [i, value] of progressOfA.entries()) {
      const difference = value - (progressOfB[i] ?? 0);
      if (difference !== 0) return difference > 0;
    }
    return false;
  }

  /** Removes a record, unless it is newer than the removal. */
  #remove(
    records: Map<string, StoredRecord>,
    { name, revision }: RecordRemoval,
    now: number,
  ): boolean {
    const current = records.get(name);
    // The store's older copy of a lost record is removed with its own revision.
    const isOfCopy = current?.isLost === true &&
      eraOf(revision) === eraOf(current.revision);
    if (current !== undefined && current.revision > revision && !isOfCopy) {
      return false;
    }
    if (revision > this.removalRevisionOf(name)) {
      this.#removals.set(name, revision);
    }
    this.#lost.forget(name);
    if (current === undefined) return false;
    records.delete(name);
    this.#lost.recordRemoval(current, now);
    return true;
  }

  /** Puts records in force. Their newest revision and fingerprint are computed
   * here once, since peers are told them often. */
  #setRecords(records: ReadonlyMap<string, StoredRecord>): void {
    this.#records = records;
    this.#changes += 1;
    this.#newestRevision = 0;
    this.#fingerprint = 0;
    this.#hasLostRecords = false;
    for (const record of records.values()) {
      const { revision, isLost } = record;
      this.#newestRevision = Math.max(this.#newestRevision, revision);
      this.#fingerprint = addFingerprints(
        this.#fingerprint,
        isLost ? this.#fingerprintOfLost(record) : fingerprintOf(revision),
      );
      if (isLost) this.#hasLostRecords = true;
    }
  }

  /** Equal on instances that know the same change: each counts it as of another
   * list. */
  #fingerprintOfLost(record: StoredRecord): number {
    return fingerprintOfText(`${record.name} ${this.#progressOf(record)}`);
  }
}
