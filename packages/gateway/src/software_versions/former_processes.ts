/** Records in the store that former processes of this instance have ended.
 *
 * A process that was killed leaves a report that is never renewed, and looks to all
 * others like one that stands still. The next process at its address knows better.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import type { EventLog } from "@banyanlb/core";
import {
  type Member,
  type RecordStore,
  StoreCallError,
  type StoredRecord,
} from "@banyanlb/serving";
import * as events from "../events.ts";
import { addressOf, decodeReport } from "./split_records.ts";

/** Pause after a call that the store did not carry out, in milliseconds. */
const RETRY_PAUSE_MS = 500;

/** Parts of the gateway that the record of former processes needs. */
export interface FormerProcessesOptions {
  readonly self: Pick<Member, "name" | "callerAddress">;
  readonly store: Pick<RecordStore, "list" | "put">;
  /** Name of this process's report. */
  readonly reportName: string;
  readonly log: EventLog;
}

/** The former processes of an instance. */
export class FormerProcesses {
  readonly #options: FormerProcessesOptions;
  #isClosed = false;

  constructor(options: FormerProcessesOptions) {
    this.#options = options;
  }

  /** Records that the processes have ended that listened where this one does.
   * Called once it listens: no two processes do at a time. Resolves when the store
   * has taken it, or when this is closed. */
  async recordEnd(): Promise<void> {
    const endedAt = Date.now();
    while (!this.#isClosed) {
      if (await this.#tryRecord(endedAt)) return;
      await pause(RETRY_PAUSE_MS);
    }
  }

  /** Ends the attempts. */
  close(): void {
    this.#isClosed = true;
  }

  async #tryRecord(endedAt: number): Promise<boolean> {
    const { store, log } = this.#options;
    try {
      const { records } = await store.list("streams");
      for (const record of records.filter((r) => this.#isFormer(r))) {
        const { name, value, revision } = record;
        const marked = { ...value as object, endedAt };
        await store.put("streams", { name, value: marked, revision });
        log.write(events.FORMER_PROCESS_ENDED, { process: name });
      }
      return true;
    } catch (err) {
      if (!(err instanceof StoreCallError)) throw err;
      log.write(events.REPORT_NOT_STORED, { failure: err.failure });
      return false;
    }
  }

  #isFormer({ name, value }: StoredRecord): boolean {
    const { self, reportName } = this.#options;
    return name !== reportName && name.startsWith(`${self.name}.`) &&
      addressOf(value) === self.callerAddress &&
      decodeReport(value).endedAt === undefined;
  }
}
