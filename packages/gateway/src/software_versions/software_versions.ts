/** Keeps each stream at the version of the engines' software that began it.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  type EngineTable,
  type Member,
  type MemberTable,
  OpenStreams,
  type RecordStore,
  type RouteTable,
  type StoredRecord,
} from "@banyanlb/serving";
import { FormerProcesses } from "./former_processes.ts";
import { SplitAdoption } from "./split_adoption.ts";
import { reportNameOf, SplitKeeper } from "./split_keeper.ts";
import { SPLITS_RECORD_NAME } from "./split_records.ts";
import { StreamVersions } from "./stream_versions.ts";

/** Parts of the gateway that the versions of streams need. */
export interface SoftwareVersionsOptions {
  readonly self: Member;
  readonly members: MemberTable;
  readonly engineTable: EngineTable;
  readonly store: RecordStore;
  /** Whether the store replies to this instance. */
  readonly reachesStore: () => boolean;
  readonly routeTable: () => RouteTable | undefined;
  readonly regionOf: (zone: string) => string | undefined;
  readonly isEvacuated: (zone: string) => boolean;
  /** Resolves to whether peers confirm that this instance knows the newest
   * splits. */
  readonly confirmWithPeers: () => Promise<boolean>;
  readonly log: EventLog;
}

/** The splits of streams among versions, and what begins and goes on by them. */
export class SoftwareVersions {
  /** The streams that this process has begun. */
  readonly streams = new OpenStreams();
  /** Finds the versions of streams. */
  readonly versions: StreamVersions;
  readonly #adoption: SplitAdoption;
  readonly #keeper: SplitKeeper;
  readonly #formerProcesses: FormerProcesses;

  constructor(options: SoftwareVersionsOptions) {
    const { self, members, store } = options;
    const { streams } = this;
    const reportName = reportNameOf(self);
    this.#adoption = new SplitAdoption(store, {
      ...options,
      streams,
      reportName,
      address: self.callerAddress,
    });
    this.#formerProcesses = new FormerProcesses({ ...options, reportName });
    const adoption = this.#adoption;
    this.versions = new StreamVersions({ ...options, adoption, streams });
    this.#keeper = new SplitKeeper(store, {
      ...options,
      adoption,
      isWriter: () =>
        options.reachesStore() &&
        members.membersReachingStore(performance.now())
          .every(({ name }) => self.name < name),
    });
  }

  /** Whether the streams of before are known as far as they can be. */
  get isReady(): boolean {
    return this.#adoption.isReady;
  }

  /** Records that former processes of this instance have ended. Called once this
   * one listens for callers. */
  recordFormerEnd(): Promise<void> {
    return this.#formerProcesses.recordEnd();
  }

  /** Begins no more streams, and reports those that may still be taken up.
   * Resolves when the store has taken the report. */
  end(): Promise<void> {
    return this.#adoption.end();
  }

  /** Stops to write reports. */
  close(): void {
    this.#adoption.close();
    this.#formerProcesses.close();
  }

  /** Takes the records that assign work, from the store or a peer. */
  setRecords(records: ReadonlyMap<string, StoredRecord>): void {
    this.#adoption.setRecord(records.get(SPLITS_RECORD_NAME));
  }

  /** Keeps the splits in line with the engines. Called regularly. */
  check(now: number): Promise<void> {
    return this.#keeper.check(now);
  }
}
