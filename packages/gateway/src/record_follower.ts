/** Follows all records of one kind in the store.
 *
 * A watch brings changes within milliseconds, but nothing shows whether it still
 * hears of them. Therefore the records are also confirmed regularly, see
 * `Confirmation`.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  Confirmation,
  type ConfirmationRole,
  type ConfirmationStep,
  type ConfirmationTimes,
  eraOf,
  type RecordKind,
  type RecordList,
  RecordSet,
  type RecordSetOptions,
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

/** How long an instance that may not watch waits for the first list from a peer
 * before it reads one itself, in milliseconds. The time is random, up to twice as
 * long, so that instances that start together do not read at the same time. */
const PEER_LIST_WAIT_MS = 600;
const PEER_LIST_CHECK_MS = 20;

/** Timeout of a list that confirms the records, in milliseconds. */
const CONFIRM_TIMEOUT_MS = 400;

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
  /** Whether this instance may watch the records; it may if omitted. Each watch
   * receives a copy of every change, and all of them at the same moment. */
  readonly mayWatch?: (() => boolean) | undefined;
  readonly confirmationTimes: ConfirmationTimes;
  /** How records are kept that a restored store has lost; they are not, if
   * omitted. */
  readonly lostRecords?: RecordSetOptions;
  /** Called with all records of the kind after the first list and after each
   * change. */
  readonly onRecords: (
    records: ReadonlyMap<string, StoredRecord>,
    source: RecordSource,
  ) => void;
  /** Called before records are passed on that are the first of a new era of the
   * store. */
  readonly onNewEra?: () => void;
  /** Called when calls begin to fail, and when one succeeds after that. */
  readonly onReachabilityChange: (reachable: boolean, reason: string) => void;
  readonly log: EventLog;
}

/** A watch that waits for its reply. */
interface PendingWatch {
  readonly abort: AbortController;
  readonly from: number;
  readonly startedAt: number;
}

/** Thrown when a watch was aborted in order to start a new one. */
class WatchRestarted extends Error {}

/** Keeps the newest records of one kind; never goes back to an older
 * revision. */
export class RecordFollower {
  readonly #store: RecordStore;
  readonly #options: RecordFollowerOptions;
  readonly #set: RecordSet;
  readonly #confirmation: Confirmation;
  /** The store's revision from which the next watch starts. */
  #revision = 0;
  #hasState = false;
  #pendingWatch: PendingWatch | undefined;
  /** A watch that has not reported a change that is already known. */
  #suspectWatch: PendingWatch | undefined;
  #isConfirming = false;
  #endPause: (() => void) | undefined;
  #isReachable = true;
  /** Whether no watch has been answered since one was interrupted. */
  #wasInterrupted = false;
  #isClosed = false;

  constructor(store: RecordStore, options: RecordFollowerOptions) {
    this.#store = store;
    this.#options = options;
    this.#set = new RecordSet(options.lostRecords);
    this.#confirmation = new Confirmation(options.confirmationTimes);
  }

  /** Whether a full list of the records was received. */
  get known(): boolean {
    return this.#hasState;
  }

  /** The highest revision among the records, as peers are told. */
  get newestRevision(): number {
    return this.#set.reportedRevision;
  }

  /** The store's revision up to which changes were received. */
  get revision(): number {
    return this.#revision;
  }

  /** Equal on two instances that hold the same records. */
  get fingerprint(): number {
    return this.#set.fingerprint;
  }

  /** Whether the store did not answer the last list that was to confirm the
   * records. */
  get isConfirmationFailing(): boolean {
    return this.#confirmation.isFailing(performance.now());
  }

  /** Time since the records were last known to be the newest, in
   * milliseconds; `Infinity` if they never were. */
  ageMs(now: number): number {
    return this.#confirmation.ageMs(now);
  }

  /** What to do at `now` to confirm the records. */
  nextConfirmationStep(now: number, role: ConfirmationRole): ConfirmationStep {
    if (this.#isConfirming) return "none";
    // The first list is read by `run`.
    if (!this.#hasState) {
      return role === "lead" || role === "relayed_lead" ? "none" : "ask";
    }
    return this.#confirmation.nextStep(now, role);
  }

  /** Records that the records were the newest at `at`, since a peer with the
   * same records knew that they were. */
  recordConfirmation(at: number): void {
    this.#confirmation.record(at);
  }

  /** The revision at which a record was removed; the store's revision if the
   * removal shows only from a full list. */
  removalRevisionOf(name: string): number {
    return this.#set.removalRevisionOf(name);
  }

  /** Differs after each change of what `snapshot` returns. */
  get stateId(): string {
    return this.#set.stateId;
  }

  /** All records as a list for a peer; undefined if no list was received. */
  snapshot(): RecordList | undefined {
    return this.#hasState ? this.#set.snapshot() : undefined;
  }

  /** Merges a list of a peer, which was the newest at `confirmedAt`; returns
   * whether it contained anything new. */
  adopt(list: RecordList, confirmedAt: number): boolean {
    this.#confirmation.record(confirmedAt);
    return this.#mergeList(list, "peer");
  }

  /** Aborts the current watch, whose connection may be dead, and starts a new
   * one. */
  reconnect(): void {
    this.#pendingWatch?.abort.abort(new Error("watch restarted"));
  }

  /** Ends a pause between watches: the records may be out of date. */
  readNow(): void {
    this.#endPause?.();
  }

  /** Follows the records until the follower is closed. */
  async run(): Promise<void> {
    let hasList = false;
    while (!this.#isClosed) {
      try {
        if (hasList && !this.#mayWatch) {
          // Nothing is known of a store that is not read.
          this.#setReachable(true, "");
          await this.#pauseBetweenWatches(NON_READER_WATCH_PAUSE_MS);
          continue;
        }
        if (hasList) await this.#watchOnce();
        else {
          await this.#waitForPeerList();
          if (!this.#hasState || this.#mayWatch) await this.#readList();
          hasList = true;
        }
        this.#setReachable(true, "");
        const pauseMs = this.#options.watchPauseMs();
        if (pauseMs > 0) await this.#pauseBetweenWatches(pauseMs);
      } catch (err) {
        if (this.#isClosed) return;
        if (err instanceof WatchRestarted) continue;
        if (err instanceof StoreCallError && err.failure === "history_gone") {
          hasList = false;
          continue;
        }
        this.#setReachable(false, String(err));
        await pause(RETRY_PAUSE_MS * (1 + Math.random()));
      }
    }
  }

  /** Confirms the records by a list of the store. */
  async confirm(): Promise<void> {
    this.#isConfirming = true;
    try {
      await this.#readList({ timeoutMs: CONFIRM_TIMEOUT_MS });
    } catch (err) {
      if (this.#isClosed) return;
      const { kind, log } = this.#options;
      const now = performance.now();
      if (!this.#confirmation.isFailing(now)) {
        log.write(events.CONFIRMATION_FAILED, {
          kind,
          ageMs: Math.round(this.ageMs(now)),
          reason: String(err),
        });
      }
      this.#confirmation.recordFailure(now, Math.random());
    } finally {
      this.#isConfirming = false;
    }
  }

  /** Restarts the watch if it has still not reported a change that was known
   * at the last call, and ends it if this instance may watch no more. */
  restartSilentWatch(): void {
    const watch = this.#pendingWatch;
    if (!this.#mayWatch) this.reconnect();
    else if (watch !== undefined && watch === this.#suspectWatch) {
      const { kind, log } = this.#options;
      log.write(events.WATCH_SILENT, {
        kind,
        from: watch.from,
        waitedMs: Math.round(performance.now() - watch.startedAt),
        revision: this.newestRevision,
      });
      this.reconnect();
    }
    this.#suspectWatch = undefined;
  }

  /** Stops following the records. */
  close(): void {
    this.#isClosed = true;
    this.reconnect();
    this.readNow();
  }

  /** Waits for a peer's list if this instance may not watch the records. */
  async #waitForPeerList(): Promise<void> {
    const until = performance.now() +
      PEER_LIST_WAIT_MS * (1 + Math.random());
    while (
      !this.#isClosed && !this.#hasState && !this.#mayWatch &&
      performance.now() < until
    ) await pause(PEER_LIST_CHECK_MS);
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

  /** Reads a complete list. It confirms the records as of its request: a
   * response may have been under way for long. */
  async #readList(options?: { readonly timeoutMs: number }): Promise<void> {
    const requestedAt = performance.now();
    const knownRevision = Math.max(
      this.#set.completeRevision,
      this.#set.newestRevision,
    );
    const { kind } = this.#options;
    const list = await this.#store.list(kind, options);
    if (list.revision < knownRevision) {
      this.#options.log.write(events.LIST_REFUSED, {
        kind,
        revision: list.revision,
        known: knownRevision,
      });
      throw new StoreCallError(
        "rejected",
        `list of revision ${list.revision} is older than ${knownRevision}`,
      );
    }
    this.#confirmation.record(requestedAt);
    this.#confirmation.recordContact();
    this.#mergeList(list, "list");
  }

  async #watchOnce(): Promise<void> {
    const { kind, log } = this.#options;
    const watch: PendingWatch = {
      abort: new AbortController(),
      from: this.#revision,
      startedAt: performance.now(),
    };
    this.#pendingWatch = watch;
    const waitedMs = () => Math.round(performance.now() - watch.startedAt);
    const { from } = watch;
    try {
      const { changes, revision } = await this.#store.watch(kind, {
        revision: from,
        // After a failure the wait is short, because the reply shows that the
        // store is available again.
        waitMs: this.#isReachable ? this.#options.waitMs : RECOVERY_WAIT_MS,
        signal: watch.abort.signal,
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
      this.#confirmation.recordContact();
      this.#revision = Math.max(this.#revision, revision);
      if (this.#set.mergeChanges(changes)) this.#notify("watch");
    } catch (err) {
      this.#wasInterrupted = true;
      const isRestart = watch.abort.signal.aborted;
      log.write(events.WATCH_INTERRUPTED, {
        kind,
        from,
        waitedMs: waitedMs(),
        reason: isRestart ? "restarted" : String(err),
      });
      throw isRestart ? new WatchRestarted() : err;
    } finally {
      this.#pendingWatch = undefined;
    }
  }

  #mergeList(list: RecordList, source: RecordSource): boolean {
    const isFirst = !this.#hasState;
    this.#hasState = true;
    if (!isFirst && eraOf(list.revision) > eraOf(this.#revision)) {
      this.#options.onNewEra?.();
    }
    this.#revision = Math.max(this.#revision, list.revision);
    const isChanged = this.#set.mergeList(list);
    if (isChanged) this.#suspectWatch = this.#pendingWatch;
    if (isChanged || isFirst) this.#notify(source);
    return isChanged || isFirst;
  }

  #notify(source: RecordSource): void {
    this.#options.onRecords(this.#set.records, source);
  }

  get #mayWatch(): boolean {
    return this.#options.mayWatch?.() ?? true;
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
