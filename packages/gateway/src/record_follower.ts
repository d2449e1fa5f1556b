/** Follows all records of one kind in the store.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  type RecordKind,
  type RecordList,
  type RecordStore,
  StoreCallError,
  type StoredRecord,
} from "@banyanlb/serving";
import * as events from "./events.ts";

/** Minimum pause after a failed call, in milliseconds. The pause is random, up
 * to twice as long, so that instances do not retry at the same time. */
const RETRY_PAUSE_MS = 250;

/** Longest wait of the first watch after a failure, in milliseconds. */
const RECOVERY_WAIT_MS = 500;

/** Pause between watches of an instance that is not a store reader, in
 * milliseconds. Its peers announce changes to it, and calls to the store are
 * expensive. */
export const NON_READER_WATCH_PAUSE_MS = 8000;

/** How records reached this instance: in a reply to a watch, in a list that was
 * read from the store, or from a peer. */
export type RecordSource = "watch" | "list" | "peer";

/** Settings and callbacks of a follower. */
export interface RecordFollowerOptions {
  readonly kind: RecordKind;
  /** Longest wait of one watch, in milliseconds. */
  readonly waitMs: number;
  /** Pause between two watches, in milliseconds; changes within the pause are
   * read in one call. */
  readonly watchPauseMs: () => number;
  /** Called with all records of the kind after each change. */
  readonly onRecords: (
    records: ReadonlyMap<string, StoredRecord>,
    source: RecordSource,
  ) => void;
  /** Called when calls begin to fail, and when one succeeds after that. */
  readonly onReachabilityChange: (reachable: boolean, reason: string) => void;
  readonly log: EventLog;
}

/** Keeps the newest records of one kind; never goes back to an older
 * revision. */
export class RecordFollower {
  readonly #store: RecordStore;
  readonly #options: RecordFollowerOptions;
  #records: ReadonlyMap<string, StoredRecord> = new Map();
  /** Revisions at which the latest watch found records removed, by name. */
  #removalRevisions: ReadonlyMap<string, number> = new Map();
  #newestRevision = 0;
  #revision = 0;
  #hasState = false;
  #watchAbort: AbortController | undefined;
  #endPause: (() => void) | undefined;
  #isReachable = true;
  /** Whether no watch has been answered since one was interrupted. */
  #wasInterrupted = false;
  #heardAt = -Infinity;
  #isClosed = false;

  constructor(store: RecordStore, options: RecordFollowerOptions) {
    this.#store = store;
    this.#options = options;
  }

  /** Whether a full list of the records was received. */
  get known(): boolean {
    return this.#hasState;
  }

  /** Time since a reply of the store or of a peer last showed the records, in
   * milliseconds. */
  ageMs(now: number): number {
    return now - this.#heardAt;
  }

  /** The highest revision among the records. */
  get newestRevision(): number {
    return this.#newestRevision;
  }

  /** The store's revision up to which changes were received. */
  get revision(): number {
    return this.#revision;
  }

  /** The revision at which the latest watch found a record removed; the store's
   * revision if the removal shows only from a full list. */
  removalRevisionOf(name: string): number {
    return this.#removalRevisions.get(name) ?? this.#revision;
  }

  /** All records as a list for a peer; undefined if no list was received. */
  snapshot(): RecordList | undefined {
    if (!this.#hasState) return undefined;
    return { records: [...this.#records.values()], revision: this.#revision };
  }

  /** Applies a list that a peer received from the store, if it is newer;
   * returns whether it is. */
  adopt(list: RecordList): boolean {
    if (this.#hasState && list.revision <= this.#revision) return false;
    this.#applyList(list, "peer");
    // A watch without pauses should have received the change from the store
    // first, so its connection may be dead.
    if (this.#options.watchPauseMs() === 0) this.reconnect();
    return true;
  }

  /** Aborts the current watch, whose connection may be dead, and starts a new
   * one. */
  reconnect(): void {
    this.#watchAbort?.abort(new Error("watch restarted"));
  }

  /** Ends a pause between watches: the records may be out of date. */
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

  /** Follows the records until the follower is closed. */
  async run(): Promise<void> {
    let hasList = false;
    while (!this.#isClosed) {
      try {
        if (hasList) await this.#watchOnce();
        else {
          const list = await this.#store.list(this.#options.kind);
          if (list.revision >= this.#revision) this.#applyList(list, "list");
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

  /** Stops following the records. */
  close(): void {
    this.#isClosed = true;
    this.reconnect();
    this.readNow();
  }

  async #watchOnce(): Promise<void> {
    const watch = new AbortController();
    this.#watchAbort = watch;
    const { kind, log } = this.#options;
    const from = this.#revision;
    const startedAt = performance.now();
    const waitedMs = () => Math.round(performance.now() - startedAt);
    const { changes, revision } = await this.#store.watch(kind, {
      revision: from,
      // After a failure the wait is short, because the reply shows that the
      // store is available again.
      waitMs: this.#isReachable ? this.#options.waitMs : RECOVERY_WAIT_MS,
      signal: watch.signal,
    }).catch((err: unknown) => {
      this.#wasInterrupted = true;
      const reason = watch.signal.aborted ? "restarted" : String(err);
      log.write(events.WATCH_INTERRUPTED, {
        kind,
        from,
        waitedMs: waitedMs(),
        reason,
      });
      throw err;
    });
    if (kind === "configuration" || this.#wasInterrupted) {
      log.write(events.WATCH_ANSWERED, {
        kind,
        from,
        revision,
        changes: changes.length,
        waitedMs: waitedMs(),
      });
    }
    this.#wasInterrupted = false;
    this.#heardAt = performance.now();
    // A newer list from a peer may have been applied during the watch.
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
    this.#applyRecords(records, "watch");
  }

  #applyList(list: RecordList, source: RecordSource): void {
    this.#heardAt = performance.now();
    this.#revision = list.revision;
    this.#removalRevisions = new Map();
    this.#hasState = true;
    this.#applyRecords(new Map(list.records.map((r) => [r.name, r])), source);
  }

  /** Puts records in force. Their highest revision is computed once here, since
   * each digest to a peer reports it. */
  #applyRecords(
    records: ReadonlyMap<string, StoredRecord>,
    source: RecordSource,
  ): void {
    this.#records = records;
    this.#newestRevision = 0;
    for (const { revision } of records.values()) {
      if (revision > this.#newestRevision) this.#newestRevision = revision;
    }
    this.#options.onRecords(records, source);
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
