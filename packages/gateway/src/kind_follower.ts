/** Follows all records of one kind in the store.
 *
 * @module
 */
import {
  type RecordKind,
  type RecordList,
  type RecordStore,
  StoreCallError,
  type StoredRecord,
} from "@banyanlb/serving";

/** Pause after a failed call, in milliseconds; up to twice that at random, so
 * that instances do not return together. */
const RETRY_PAUSE_MS = 250;

/** How a follower works. */
export interface FollowOptions {
  readonly kind: RecordKind;
  /** Longest wait of one watch, in milliseconds. */
  readonly waitMs: number;
  /** Least time between two watches: changes that come meanwhile are one call. */
  readonly gatherMs: number;
  /** Called with every new state. */
  readonly onRecords: (records: ReadonlyMap<string, StoredRecord>) => void;
  /** Called when a call fails, and when one succeeds after that. */
  readonly onReachable: (reachable: boolean, reason: string) => void;
}

/** Keeps the newest state of a kind; a state never gets older. */
export class KindFollower {
  readonly #store: RecordStore;
  readonly #options: FollowOptions;
  #records: ReadonlyMap<string, StoredRecord> = new Map();
  #newest = 0;
  #revision = 0;
  #known = false;
  #watch: AbortController | undefined;
  #reachable = true;
  #closed = false;

  constructor(store: RecordStore, options: FollowOptions) {
    this.#store = store;
    this.#options = options;
  }

  /** Whether any state is known. */
  get known(): boolean {
    return this.#known;
  }

  /** The revision of the newest change of this kind that is known. */
  get newest(): number {
    return this.#newest;
  }

  /** The revision up to which the store's changes are known. */
  get revision(): number {
    return this.#revision;
  }

  /** The state as a list, for a peer. */
  snapshot(): RecordList | undefined {
    if (!this.#known) return undefined;
    return { records: [...this.#records.values()], revision: this.#revision };
  }

  /** Takes a list that a peer got from the store, if it is newer. */
  adopt(list: RecordList): boolean {
    if (this.#known && list.revision <= this.#revision) return false;
    this.#replace(list);
    this.redial();
    return true;
  }

  /** Drops the watch under way: its connection may be dead. */
  redial(): void {
    this.#watch?.abort(new Error("watch dialled again"));
  }

  /** Follows until closed. */
  async run(): Promise<void> {
    let listed = false;
    while (!this.#closed) {
      try {
        if (listed) await this.#watchOnce();
        else {
          const list = await this.#store.list(this.#options.kind);
          if (list.revision >= this.#revision) this.#replace(list);
          listed = true;
        }
        this.#note(true, "");
        if (listed && this.#options.gatherMs > 0) {
          await pause(this.#options.gatherMs);
        }
      } catch (err) {
        if (this.#closed) return;
        if (err instanceof StoreCallError && err.failure === "history_gone") {
          listed = false;
          continue;
        }
        this.#note(false, String(err));
        await pause(RETRY_PAUSE_MS * (1 + Math.random()));
      }
    }
  }

  /** Ends the following. */
  close(): void {
    this.#closed = true;
    this.redial();
  }

  async #watchOnce(): Promise<void> {
    const watch = new AbortController();
    this.#watch = watch;
    const from = this.#revision;
    const { changes, revision } = await this.#store.watch(this.#options.kind, {
      revision: from,
      waitMs: this.#options.waitMs,
      signal: watch.signal,
    });
    // A peer's list may have overtaken this answer.
    if (revision < this.#revision) return;
    this.#revision = revision;
    if (changes.length === 0) return;
    const records = new Map(this.#records);
    for (const { removed, record } of changes) {
      if (removed) records.delete(record.name);
      else records.set(record.name, record);
    }
    this.#setRecords(records);
  }

  #replace(list: RecordList): void {
    this.#revision = list.revision;
    this.#known = true;
    this.#setRecords(new Map(list.records.map((r) => [r.name, r])));
  }

  /** Puts a state in force. The newest revision is kept with it, since each
   * digest to a peer tells it. */
  #setRecords(records: ReadonlyMap<string, StoredRecord>): void {
    this.#records = records;
    this.#newest = 0;
    for (const { revision } of records.values()) {
      if (revision > this.#newest) this.#newest = revision;
    }
    this.#options.onRecords(records);
  }

  #note(reachable: boolean, reason: string): void {
    if (reachable === this.#reachable) return;
    this.#reachable = reachable;
    this.#options.onReachable(reachable, reason);
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
