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

/** Longest wait of the first watch after a failure, in milliseconds. */
const BACK_WAIT_MS = 500;

/** Least time between watches of an instance that hears from others what has
 * changed, in milliseconds: calls to the store are dear. */
export const GATHER_SELDOM_MS = 8000;

/** How a follower works. */
export interface FollowOptions {
  readonly kind: RecordKind;
  /** Longest wait of one watch, in milliseconds. */
  readonly waitMs: number;
  /** Least time between two watches: changes that come meanwhile are one call. */
  readonly gatherMs: () => number;
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
  /** Revisions at which records were removed, of the latest change only. */
  #removed: ReadonlyMap<string, number> = new Map();
  #newest = 0;
  #revision = 0;
  #known = false;
  #watch: AbortController | undefined;
  #wake: (() => void) | undefined;
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

  /** The revision at which a record was found removed by the latest change. */
  removedAt(name: string): number {
    return this.#removed.get(name) ?? this.#revision;
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
    // The store should have told it: its connection may be dead.
    if (this.#options.gatherMs() === 0) this.redial();
    return true;
  }

  /** Drops the watch under way: its connection may be dead. */
  redial(): void {
    this.#watch?.abort(new Error("watch dialled again"));
  }

  /** Ends a pause between watches: what is known may be old. */
  wake(): void {
    this.#wake?.();
  }

  #pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
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
        const gatherMs = this.#options.gatherMs();
        if (gatherMs > 0) await this.#pause(gatherMs);
      } catch (err) {
        if (this.#closed) return;
        if (this.#watch?.signal.aborted === true) {
          this.#watch = undefined;
          continue;
        }
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
    this.wake();
  }

  async #watchOnce(): Promise<void> {
    const watch = new AbortController();
    this.#watch = watch;
    const from = this.#revision;
    const { changes, revision } = await this.#store.watch(this.#options.kind, {
      revision: from,
      // After a failure an answer is wanted soon: it shows that the store is
      // back.
      waitMs: this.#reachable ? this.#options.waitMs : BACK_WAIT_MS,
      signal: watch.signal,
    });
    // A peer's list may have overtaken this answer.
    if (revision < this.#revision) return;
    this.#revision = revision;
    if (changes.length === 0) return;
    const records = new Map(this.#records);
    const gone = new Map<string, number>();
    for (const { removed, record } of changes) {
      if (removed) {
        records.delete(record.name);
        gone.set(record.name, record.revision);
      } else records.set(record.name, record);
    }
    this.#removed = gone;
    this.#setRecords(records);
  }

  #replace(list: RecordList): void {
    this.#revision = list.revision;
    this.#removed = new Map();
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
