/** Follows the splits of streams among software versions, and reports the streams
 * of this process before it uses new ones.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import type { EventLog } from "@banyanlb/core";
import {
  ALL_SPLITS,
  FIRST_ERA,
  NO_SPLITS,
  type OpenStreams,
  type RecordStore,
  StoreCallError,
  type StoredRecord,
  TAKE_UP_MAX_MS,
  type VersionSplits,
} from "@banyanlb/serving";
import * as events from "../events.ts";
import {
  decodeSplits,
  SPLITS_RECORD_NAME,
  type StoredReport,
} from "./split_records.ts";

/** Pause after a report that the store did not take, in milliseconds; shorter for
 * the last one, which the process waits for. */
const RETRY_PAUSE_MS = 200;
const LAST_RETRY_PAUSE_MS = 40;

/** How long an instance that starts waits for its first report before it is
 * ready, in milliseconds: without one it passes streams on, and serves all
 * else. */
const FIRST_REPORT_WAIT_MS = 600;

/** In place of the number of the splits that were reported: there is no report
 * in the store's present era. */
const UNREPORTED = -1;

/** How long streams may be taken up that a process may begin from its first report
 * on, in milliseconds, and the steps in which that grows: each costs a write. */
const FIRST_TAKE_UP_MS = 15_000;
const TAKE_UP_STEP_MS = 5000;

/** The calls of the store that the adoption uses. */
export type ReportStore = Pick<
  RecordStore,
  "get" | "put" | "onEraChange" | "era"
>;

/** Parts of the gateway that the adoption uses. */
export interface SplitAdoptionOptions {
  readonly streams: OpenStreams;
  /** Name of this process's report: it differs with each start. */
  readonly reportName: string;
  /** Where this process listens for callers. */
  readonly address: string;
  /** Whether the store replies to this instance. */
  readonly reachesStore: () => boolean;
  readonly log: EventLog;
}

/** The splits in force for this process. */
export class SplitAdoption {
  readonly #records: ReportStore;
  readonly #options: SplitAdoptionOptions;
  readonly #streams: OpenStreams;
  readonly #startedAt = performance.now();
  readonly #stopHearingOfEras: () => void;
  #hasList = false;
  #known = NO_SPLITS;
  #adopted = NO_SPLITS;
  #pending: VersionSplits | undefined;
  /** The number of the splits of the last report that was stored. */
  #reported = UNREPORTED;
  /** Whether the store has taken any report of this process. */
  #isAcknowledged = false;
  /** Whether a report is due although there are no splits. */
  #isReportAsked = false;
  /** How long streams of this process may be taken up, as its report has to say,
   * and as the store has taken it. */
  #neededTakeUpMs = FIRST_TAKE_UP_MS;
  #reportedTakeUpMs = 0;
  #reportRevision: number | undefined;
  /** Whether the store may take a report of which it has not said so. */
  #isInDoubt = false;
  #reporting: Promise<void> | undefined;
  #isEnding = false;
  /** Whether the store was restored while this process knew the splits. */
  #knewBeforeRestore = false;
  #isClosed = false;
  readonly #waiters: (() => void)[] = [];
  #damagedRevision = 0;

  constructor(store: ReportStore, options: SplitAdoptionOptions) {
    this.#records = store;
    this.#options = options;
    this.#streams = options.streams;
    this.#stopHearingOfEras = store.onEraChange(() => this.#onRestore());
  }

  /** The newest splits that this process has heard of. */
  get known(): VersionSplits {
    return this.#known;
  }

  /** The splits by which streams begin here. */
  get adopted(): VersionSplits {
    return this.#adopted;
  }

  /** Whether the store has taken a report of this process by which it begins
   * streams that may be taken up for `takeUpMs`. Without one nobody could tell
   * that it began any, so none may begin. */
  isAcknowledged(takeUpMs: number): boolean {
    return this.#isAcknowledged && takeUpMs <= this.#reportedTakeUpMs;
  }

  /** Whether the last report is due or stored: no stream may begin. */
  get isEnding(): boolean {
    return this.#isEnding;
  }

  /** Splits whose report is under way: a stream that they move must not begin;
   * undefined if there are none. */
  get pending(): VersionSplits | undefined {
    return this.#pending;
  }

  /** Whether the splits may have been lost in a restore of the store that this
   * process did not see. */
  get mayHaveLostSplits(): boolean {
    return !this.#isOfEra && !this.#knewBeforeRestore;
  }

  /** Whether the splits must be written again: the store was restored, and this
   * process knew them before, or has waited until nobody can take up a stream of
   * that time. */
  get mustWriteAgain(): boolean {
    if (this.#isOfEra) return false;
    return this.#knewBeforeRestore ||
      performance.now() - this.#startedAt > TAKE_UP_MAX_MS;
  }

  /** Whether this process is known in the store, or that takes too long to wait
   * for. */
  get isReady(): boolean {
    const isKnown = this.#hasList && !this.#isReportDue;
    return isKnown ||
      performance.now() - this.#startedAt > FIRST_REPORT_WAIT_MS;
  }

  /** Whether the store lacks the report of the newest splits. */
  get #isReportDue(): boolean {
    if (this.#isEnding) return this.#reported < ALL_SPLITS;
    const { number } = this.#known;
    if (number === 0 && !this.#isReportAsked) return false;
    return this.#reported < number || this.#isTakeUpDue;
  }

  /** Whether streams may have to be taken up for longer than the report says. */
  get #isTakeUpDue(): boolean {
    return this.#reportedTakeUpMs < this.#neededTakeUpMs;
  }

  /** Whether the splits are of the store's present era. */
  get #isOfEra(): boolean {
    const { era } = this.#records;
    return era === undefined || this.#known.number === 0 ||
      this.#known.era >= era;
  }

  /** Takes the record of the splits from the store or a peer. */
  setRecord(record: StoredRecord | undefined): void {
    this.#hasList = true;
    if (record === undefined) return;
    const splits = decodeSplits(record.value);
    if (splits === undefined) {
      if (record.revision === this.#damagedRevision) return;
      this.#damagedRevision = record.revision;
      this.#options.log.write(events.RECORD_IGNORED, {
        kind: "assignment",
        name: SPLITS_RECORD_NAME,
        revision: record.revision,
      });
      return;
    }
    const { number, era } = this.#known;
    if (splits.number < number) return;
    if (splits.number === number && splits.era <= era) return;
    this.#known = splits;
    void this.#reportAll();
  }

  /** Stores a report, so that streams may begin that may be taken up for
   * `takeUpMs`. */
  acknowledge(takeUpMs: number): void {
    this.#isReportAsked = true;
    const steps = Math.ceil(takeUpMs / TAKE_UP_STEP_MS);
    this.#neededTakeUpMs = Math.max(
      this.#neededTakeUpMs,
      Math.min(steps * TAKE_UP_STEP_MS, TAKE_UP_MAX_MS),
    );
    void this.#reportAll();
  }

  /** Resolves when no report is under way, or after `maxMs`; at once while the
   * store does not reply. */
  async settled(maxMs: number): Promise<void> {
    const isWaiting = this.#pending !== undefined ||
      (this.#reporting !== undefined &&
        (!this.#isAcknowledged || this.#isTakeUpDue));
    if (!isWaiting || !this.#options.reachesStore()) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, maxMs);
      this.#waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** Begins no more streams, and stores the last report: without it nobody could
   * tell whether this process had begun a stream that later splits move. Resolves
   * when the store has taken it, or when this is closed. */
  end(): Promise<void> {
    this.#isEnding = true;
    // There is no report that others would wait for.
    if (!this.#isAcknowledged && !this.#isInDoubt) return Promise.resolve();
    return this.#reportAll();
  }

  /** Ends the reports. */
  close(): void {
    this.#isClosed = true;
    this.#stopHearingOfEras();
  }

  /** Writes again what the restored store may have lost. */
  #onRestore(): void {
    this.#knewBeforeRestore = this.#known.number > 0;
    this.#reportRevision = undefined;
    this.#isReportAsked = this.#isAcknowledged;
    this.#reported = UNREPORTED;
    void this.#reportAll();
  }

  /** Reports the streams of this process for the newest splits, until the store
   * has taken it. */
  #reportAll(): Promise<void> {
    if (this.#isReportDue) this.#reporting ??= this.#storeDue();
    return this.#reporting ?? Promise.resolve();
  }

  async #storeDue(): Promise<void> {
    while (this.#isReportDue && !this.#isClosed) {
      if (this.#isEnding) {
        if (!await this.#storeLast()) await pause(LAST_RETRY_PAUSE_MS);
        continue;
      }
      const splits = this.#pending ?? this.#known;
      if (this.#adopted.number < splits.number) this.#pending = splits;
      if (this.#options.reachesStore() && await this.#store(splits)) continue;
      if (!this.#isInDoubt) this.#setPending(undefined);
      await pause(RETRY_PAUSE_MS);
    }
    // In the turn of the last look at what is due.
    this.#reporting = undefined;
  }

  /** Stores the last report, which names all streams. */
  async #storeLast(): Promise<boolean> {
    const strayed = this.#streams.versions(performance.now());
    if (!await this.#write({ splits: ALL_SPLITS, strayed })) return false;
    this.#reported = ALL_SPLITS;
    this.#setPending(undefined);
    this.#options.log.write(events.LAST_REPORT_STORED, {
      streams: Object.keys(strayed).length,
    });
    return true;
  }

  /** Stores the report for `splits` and adopts them; returns whether the store
   * has taken it. */
  async #store(splits: VersionSplits): Promise<boolean> {
    const strayed = this.#streams.strayed(splits, performance.now());
    if (!await this.#write({ splits: splits.number, strayed })) return false;
    this.#reported = splits.number;
    this.#isAcknowledged = true;
    this.#adopted = splits;
    this.#setPending(undefined);
    this.#options.log.write(events.SPLITS_ADOPTED, {
      number: splits.number,
      strayed: Object.keys(strayed).length,
    });
    return true;
  }

  /** Writes the report; returns whether the store has taken it. */
  async #write(
    report: Pick<StoredReport, "splits" | "strayed">,
  ): Promise<boolean> {
    const { reportName, address, log } = this.#options;
    const takeUpMs = this.#neededTakeUpMs;
    const value: StoredReport = {
      ...report,
      takeUpMs,
      era: this.#records.era ?? FIRST_ERA,
      address,
    };
    const wasInDoubt = this.#isInDoubt;
    this.#isInDoubt = true;
    try {
      const { revision } = await this.#records.put("streams", {
        name: reportName,
        value,
        revision: this.#reportRevision,
      });
      this.#reportRevision = revision;
      this.#reportedTakeUpMs = takeUpMs;
      this.#isInDoubt = false;
      return true;
    } catch (err) {
      if (!(err instanceof StoreCallError)) throw err;
      log.write(events.REPORT_NOT_STORED, { failure: err.failure });
      // A former call may still be carried out.
      this.#isInDoubt = wasInDoubt || err.failure !== "rejected";
      if (err.failure === "conflict" || err.failure === "not_found") {
        await this.#readRevision();
      }
      return false;
    }
  }

  async #readRevision(): Promise<void> {
    try {
      const { reportName } = this.#options;
      const record = await this.#records.get("streams", reportName);
      this.#reportRevision = record?.revision;
    } catch (err) {
      if (!(err instanceof StoreCallError)) throw err;
      this.#options.log.write(events.REPORT_NOT_STORED, {
        failure: err.failure,
      });
    }
  }

  #setPending(splits: VersionSplits | undefined): void {
    this.#pending = splits;
    if (splits !== undefined) return;
    for (const resolve of this.#waiters.splice(0)) resolve();
  }
}
