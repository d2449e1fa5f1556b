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
const RECOVERY_WAIT_MS = 500;

/** Least time between watches of an instance that hears from others what has
 * changed, in milliseconds: calls to the store are dear. */
export const NON_READER_WATCH_PAUSE_MS = 8000;

/** How a follower works. */
export interface RecordFollowerOptions {
  readonly kind: RecordKind;
  /** Longest wait of one watch, in milliseconds. */
  readonly waitMs: number;
  /** Least time between two watches: changes that come meanwhile are one call. */
  readonly watchPauseMs: () => number;
  /** Called with every new state. */
  readonly onRecords: (records: ReadonlyMap<string, StoredRecord>) => void;
  /** Called when a call fails, and when one succeeds after that. */
  readonly onReachabilityChange: (reachable: boolean, reason: string) => void;
}

/** Keeps the newest state of a kind; a state never gets older. */
export class RecordFollower {
  readonly #store: RecordStore;
  readonly #options: RecordFollowerOptions;
  #records: ReadonlyMap<string, StoredRecord> = new Map();
  /** Revisions at which records were removed, of the latest change only. */
  #removalRevisions: ReadonlyMap<string, number> = new Map();
  #newestRevision = 0;
  #revision = 0;
  #hasState = false;
  #watchAbort: AbortController | undefined;
  #endPause: (() => void) | undefined;
  #isReachable = true;
  #isClosed = false;

  constructor(store: RecordStore, options: RecordFollowerOptions) {
    this.#store = store;
    this.#options = options;
  }

  /** Whether any state is known. */
  get known(): boolean {
    return this.#hasState;
  }

  /** The revision of the newest change of this kind that is known. */
  get newestRevision(): number {
    return this.#newestRevision;
  }

  /** The revision up to which the store's changes are known. */
  get revision(): number {
    return this.#revision;
  }

  /** The revision at which a record was found removed by the latest change. */
  removalRevisionOf(name: string): number {
    return this.#removalRevisions.get(name) ?? this.#revision;
  }

  /** The state as a list, for a peer. */
  snapshot(): RecordList | undefined {
    if (!this.#hasState) return undefined;
    return { records: [...this.#records.values()], revision: this.#revision };
  }

  /** Takes a list that a peer got from the store, if it is newer. */
  adopt(list: RecordList): boolean {
    if (this.#hasState && list.revision <= this.#revision) return false;
    this.#applyList(list);
    // The store should have told it: its connection may be dead.
    if (this.#options.watchPauseMs() === 0) this.reconnect();
    return true;
  }

  /** Drops the watch under way: its connection may be dead. */
  reconnect(): void {
    this.#watchAbort?.abort(new Error("watch dialled again"));
  }

  /** Ends a pause between watches: what is known may be old. */
  readNow(): void {
    this.#endPause?.();
  }

  #pauseBetweenWatches(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.#endPause = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** Follows until closed. */
  async run(): Promise<void> {
    let hasList = false;
    while (!this.#isClosed) {
      try {
        if (hasList) await this.#watchOnce();
        else {
          const list = await this.#store.list(this.#options.kind);
          if (list.revision >= this.#revision) this.#applyList(list);
          hasList = true;
        }
        this.#setReachable(true, "");
        const pauseMs = this.#options.watchPauseMs();
        if (pauseMs > 0) await this.#pauseBetweenWatches(pauseMs);
      } catch (err) {
        if (this.#isClosed) return;
        if (this.#watchAbort?.signal.aborted === true) {
          this.#watchAbort = undefined;
          continue;
        }
        if (err instanceof StoreCallError && err.failure === "history_gone") {
          hasList = false;
          continue;
        }
        this.#setReachable(false, String(err));
        await pause(RETRY_PAUSE_MS * (1 + Math.random()));
      }
    }
  }

  /** Ends the following. */
  close(): void {
    this.#isClosed = true;
    this.reconnect();
    this.readNow();
  }

  async #watchOnce(): Promise<void> {
    const watch = new AbortController();
    this.#watchAbort = watch;
    const watchedFrom = this.#revision;
    const { changes, revision } = await this.#store.watch(this.#options.kind, {
      revision: watchedFrom,
      // After a failure an answer is wanted soon: it shows that the store is
      // back.
      waitMs: this.#isReachable ? this.#options.waitMs : RECOVERY_WAIT_MS,
      signal: watch.signal,
    });
    // A peer's list may have overtaken this answer.
    if (revision < this.#revision) return;
    this.#revision = revision;
    if (changes.length === 0) return;
    const records = new Map(this.#records);
    const removalRevisions = new Map<string, number>();
    for (const { removed, record } of changes) {
      if (removed) {
        records.delete(record.name);
        removalRevisions.set(record.name, record.revision);
      } else records.set(record.name, record);
    }
    this.#removalRevisions = removalRevisions;
    this.#applyRecords(records);
  }

  #applyList(list: RecordList): void {
    this.#revision = list.revision;
    this.#removalRevisions = new Map();
    this.#hasState = true;
    this.#applyRecords(new Map(list.records.map((r) => [r.name, r])));
  }

  /** Puts a state in force. The newest revision is kept with it, since each
   * digest to a peer tells it. */
  #applyRecords(records: ReadonlyMap<string, StoredRecord>): void {
    this.#records = records;
    this.#newestRevision = 0;
    for (const { revision } of records.values()) {
      if (revision > this.#newestRevision) this.#newestRevision = revision;
    }
    this.#options.onRecords(records);
  }

  #setReachable(reachable: boolean, reason: string): void {
    if (reachable === this.#isReachable) return;
    this.#isReachable = reachable;
    this.#options.onReachabilityChange(reachable, reason);
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
