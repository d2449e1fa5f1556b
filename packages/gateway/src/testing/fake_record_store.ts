/** A record store in memory, whose watches, lists and history can fail.
 *
 * @module
 */
import {
  eraOf,
  FIRST_ERA,
  numberOf,
  type RecordChange,
  type RecordKind,
  type RecordList,
  RecordStore,
  StoreCallError,
  type StoredRecord,
  storeRevision,
} from "@banyanlb/serving";

interface Watch {
  readonly kind: RecordKind;
  readonly from: number;
  /** Whether the watch is never told of changes. */
  readonly isDeaf: boolean;
  reply(): void;
  fail(err: Error): void;
}

interface LoggedChange extends RecordChange {
  readonly kind: RecordKind;
  readonly revision: number;
}

/** What a copy of the store holds. */
interface StoreCopy {
  readonly number: number;
  readonly records: ReadonlyMap<
    RecordKind,
    ReadonlyMap<string, StoredRecord>
  >;
}

/** How calls other than watches are answered. */
export type ReadMode = "serve" | "silent" | "reject" | "stale";

/** Keeps records in memory and answers watches as the store does. */
export class FakeRecordStore extends RecordStore {
  /** How lists are answered. `stale`: with the records of `freezeLists`. */
  readMode: ReadMode = "serve";
  /** Whether `put` writes; it is rejected otherwise. */
  isWritable = false;
  /** How long a list is under way after it was read, in milliseconds. */
  listDelayMs = 0;
  /** How long a record that is put is under way before it is written, in
   * milliseconds. */
  putDelayMs = 0;
  /** Whether watches, also those that start from now on, hear of no change. */
  areWatchesDeaf = false;
  /** Whether a watch that waited in vain is answered with the newest revision,
   * even if it missed a change. */
  skipsMissedChanges = false;
  /** Number of calls, by method. */
  readonly calls = { list: 0, watch: 0, get: 0 };
  readonly #records = new Map<RecordKind, Map<string, StoredRecord>>();
  readonly #stale = new Map<RecordKind, RecordList>();
  readonly #watches = new Set<Watch>();
  readonly #copies = new Map<string, StoreCopy>();
  #history: LoggedChange[] = [];
  #currentEra = FIRST_ERA;
  #number = 100;
  #oldestRevision = 100;

  /** The revision of the newest change. */
  get revision(): number {
    return storeRevision(this.#currentEra, this.#number);
  }

  /** Takes a copy of all records, from which the store can be restored. */
  copy(name = "copy"): void {
    this.#copies.set(name, {
      number: this.#number,
      records: new Map(
        [...this.#records].map(([kind, records]) => [kind, new Map(records)]),
      ),
    });
  }

  /** Comes back from a copy, in a new era. Watches that wait are cut off. */
  restore(name = "copy"): void {
    const copy = this.#copies.get(name);
    if (copy === undefined) throw new Error(`no copy ${name}`);
    this.#currentEra += 1;
    this.#number = copy.number;
    this.#records.clear();
    for (const [kind, records] of copy.records) {
      this.#records.set(
        kind,
        new Map(
          [...records.values()].map((record) => [record.name, {
            ...record,
            revision: storeRevision(
              this.#currentEra,
              numberOf(record.revision),
            ),
          }]),
        ),
      );
    }
    this.#history = [];
    this.#oldestRevision = this.revision;
    for (const watch of this.#watches) {
      watch.fail(new StoreCallError("unknown", "read ECONNRESET"));
    }
  }

  /** Number of watches that wait for a reply. */
  get waitingWatches(): number {
    return this.#watches.size;
  }

  /** Writes a record without a condition; returns its revision. */
  write(kind: RecordKind, name: string, value: unknown): number {
    this.#number += 1;
    const record = { name, revision: this.revision, value };
    this.#recordsOf(kind).set(name, record);
    this.#logChange(kind, { removed: false, record });
    return record.revision;
  }

  /** Removes a record. The change carries the record's last revision. */
  erase(kind: RecordKind, name: string): void {
    const record = this.#recordsOf(kind).get(name);
    if (record === undefined) return;
    this.#number += 1;
    this.#recordsOf(kind).delete(name);
    this.#logChange(kind, { removed: true, record });
  }

  /** Keeps the present records as the answer to lists in mode `stale`. */
  freezeLists(): void {
    for (const kind of this.#records.keys()) {
      this.#stale.set(kind, this.#currentList(kind));
    }
  }

  /** Drops the history: a watch from an older revision fails from now on.
   * Watches that are waiting are not told. */
  compact(): void {
    this.#history = [];
    this.#oldestRevision = this.revision;
  }

  /** Resets the connections on which watches are waiting, one after another:
   * first those of the kinds not in `lastKinds`. Resolves when all are reset;
   * watches that have started meanwhile go on. */
  async resetWatches(lastKinds: readonly RecordKind[] = []): Promise<void> {
    const watches = [...this.#watches].sort((a, b) =>
      Number(lastKinds.includes(a.kind)) - Number(lastKinds.includes(b.kind))
    );
    for (const watch of watches) {
      watch.fail(new StoreCallError("unknown", "read ECONNRESET"));
      await delay(1);
    }
  }

  override list(
    kind: RecordKind,
    { timeoutMs = 1200 }: { readonly timeoutMs?: number } = {},
  ): Promise<RecordList> {
    this.calls.list += 1;
    switch (this.readMode) {
      case "serve": {
        const list = this.#currentList(kind);
        const era = this.#currentEra;
        if (this.listDelayMs === 0) {
          this.recordEra(era);
          return Promise.resolve(list);
        }
        return delay(this.listDelayMs).then(() => {
          this.#hear(era);
          return list;
        });
      }
      case "stale":
        return Promise.resolve(
          this.#stale.get(kind) ?? { records: [], revision: 100 },
        );
      case "silent":
        return delay(timeoutMs).then(() => {
          throw new StoreCallError("unknown", `no response in ${timeoutMs} ms`);
        });
      case "reject":
        return Promise.reject(new StoreCallError("rejected", "status 503"));
    }
  }

  override get(
    kind: RecordKind,
    name: string,
  ): Promise<StoredRecord | undefined> {
    this.calls.get += 1;
    this.recordEra(this.#currentEra);
    return Promise.resolve(this.#recordsOf(kind).get(name));
  }

  override watch(
    kind: RecordKind,
    options: {
      readonly revision: number;
      readonly waitMs: number;
      readonly signal: AbortSignal;
    },
  ): Promise<
    { readonly changes: readonly RecordChange[]; readonly revision: number }
  > {
    this.calls.watch += 1;
    const { revision: from, waitMs, signal } = options;
    const isDeaf = this.areWatchesDeaf;
    if (eraOf(from) < this.#currentEra) {
      this.recordEra(this.#currentEra);
      return Promise.reject(new StoreCallError("history_gone", "status 410"));
    }
    if (!isDeaf && from < this.#oldestRevision) {
      return Promise.reject(new StoreCallError("history_gone", "status 410"));
    }
    return new Promise((resolve, reject) => {
      const settle = (finish: () => void) => {
        clearTimeout(timer);
        this.#watches.delete(watch);
        finish();
      };
      const watch: Watch = {
        kind,
        from,
        isDeaf,
        reply: () =>
          settle(() => {
            const changes = isDeaf && this.skipsMissedChanges
              ? []
              : this.#changesSince(kind, from);
            resolve({ changes, revision: this.revision });
          }),
        fail: (err) => settle(() => reject(err)),
      };
      const timer = setTimeout(() => watch.reply(), waitMs);
      this.#watches.add(watch);
      signal.addEventListener("abort", () => {
        watch.fail(new StoreCallError("unknown", "aborted"));
      }, { once: true });
      if (!isDeaf && this.#changesSince(kind, from).length > 0) watch.reply();
    });
  }

  override async put(
    kind: RecordKind,
    record: {
      readonly name: string;
      readonly value: unknown;
      readonly revision: number | undefined;
    },
  ): Promise<StoredRecord> {
    if (!this.isWritable) throw new StoreCallError("rejected", "read only");
    if (this.putDelayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, this.putDelayMs));
    }
    this.recordEra(this.#currentEra);
    const { name, value } = record;
    const current = this.#recordsOf(kind).get(name);
    if (current === undefined && record.revision !== undefined) {
      throw new StoreCallError("not_found", "status 404");
    }
    if (current?.revision !== record.revision) {
      throw new StoreCallError("conflict", "status 409");
    }
    return { name, value, revision: this.write(kind, name, value) };
  }

  override remove(): Promise<void> {
    return Promise.reject(new StoreCallError("rejected", "read only"));
  }

  override close(): void {
    for (const watch of this.#watches) {
      watch.fail(new StoreCallError("unknown", "closed"));
    }
  }

  /** An answer that was given in `era` arrives. */
  #hear(era: number): void {
    if (era < (this.era ?? FIRST_ERA)) {
      throw new StoreCallError("unknown", `response of era ${era}`);
    }
    this.recordEra(era);
  }

  #recordsOf(kind: RecordKind): Map<string, StoredRecord> {
    let records = this.#records.get(kind);
    if (records === undefined) {
      records = new Map();
      this.#records.set(kind, records);
    }
    return records;
  }

  #currentList(kind: RecordKind): RecordList {
    return {
      records: [...this.#recordsOf(kind).values()],
      revision: this.revision,
    };
  }

  #logChange(kind: RecordKind, change: RecordChange): void {
    this.#history.push({ ...change, kind, revision: this.revision });
    if (this.areWatchesDeaf) return;
    for (const watch of this.#watches) {
      if (watch.kind === kind && !watch.isDeaf) watch.reply();
    }
  }

  #changesSince(kind: RecordKind, from: number): readonly RecordChange[] {
    return this.#history.filter((c) => c.kind === kind && c.revision > from);
  }
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
