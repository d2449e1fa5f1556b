/** What an owner knows of the adapters on one engine.
 *
 * @module
 */
import type { EngineReport } from "@banyanlb/core";
import { GRANT_COUNT_HALF_LIFE_MS } from "./constants.ts";

/** `unknown`: an order's outcome is not known. */
export type AdapterStatus = "loading" | "loaded" | "evicting" | "unknown";

/** One adapter's version on the engine. Times are monotonic milliseconds. */
export interface AdapterRecord {
  readonly name: string;
  readonly status: AdapterStatus;
  /** When the present status began. */
  readonly since: number;
  /** A report taken before this time does not tell an unknown outcome. */
  readonly settled_at: number;
  /** Set if a request without permit may run: it lasts until a report taken
   * later shows none. */
  readonly in_doubt_since: number | undefined;
  /** Decaying number of grants, as of `value_at`. */
  readonly value: number;
  readonly value_at: number;
}

/** The adapters of one engine. Each record takes one of its slots. */
export class AdapterTable {
  readonly #records = new Map<string, AdapterRecord>();
  #last_order_at = -Infinity;
  /** Version that gets no more grants, so that it can be evicted. */
  draining_version: string | undefined;

  /** Slots in use. */
  get size(): number {
    return this.#records.size;
  }

  /** The record of a version. */
  get(name: string): AdapterRecord | undefined {
    return this.#records.get(name);
  }

  /** All records. */
  records(): readonly AdapterRecord[] {
    return [...this.#records.values()];
  }

  /** True if a version may serve requests. */
  serves(name: string): boolean {
    return this.#records.get(name)?.status === "loaded" &&
      this.draining_version !== name;
  }

  /** Sets a version's status, keeping doubt and value. */
  set(
    name: string,
    change: {
      readonly status: AdapterStatus;
      readonly now: number;
      readonly settled_at?: number;
    },
  ): void {
    const old = this.#records.get(name);
    this.#records.set(name, {
      name,
      status: change.status,
      since: change.now,
      settled_at: change.settled_at ?? change.now,
      in_doubt_since: old?.in_doubt_since,
      value: old?.value ?? 0,
      value_at: old?.value_at ?? change.now,
    });
  }

  /** Forgets a version that is not on the engine. */
  delete(name: string): void {
    this.#records.delete(name);
    if (this.draining_version === name) this.draining_version = undefined;
  }

  /** Records that a request without permit may run on a version. */
  doubt(name: string, now: number): void {
    const record = this.#records.get(name);
    if (record === undefined) return;
    this.#records.set(name, { ...record, in_doubt_since: now });
  }

  /** Records that requests without permit may run on any version. */
  doubtAll(now: number): void {
    for (const name of this.#records.keys()) this.doubt(name, now);
  }

  /** Records a grant. */
  recordGrant(name: string, now: number): void {
    const record = this.#records.get(name);
    if (record === undefined) return;
    const value = recentGrantCount(record, now) + 1;
    this.#records.set(name, { ...record, value, value_at: now });
  }

  /** Records that an order was sent or answered. */
  recordOrder(now: number): void {
    this.#last_order_at = now;
  }

  /** True if an outcome is unknown that a report taken now would tell. */
  hasResolvableOutcome(now: number): boolean {
    return this.records().some((record) =>
      record.status === "unknown" && record.settled_at <= now
    );
  }

  /** True if a loaded version is in doubt. */
  hasDoubt(): boolean {
    return this.records().some((record) => record.in_doubt_since !== undefined);
  }

  /** Takes over a report. `taken_at` is the earliest time at which the engine
   * can have taken it. Yields the versions that were found missing. */
  applyReport(
    report: EngineReport,
    times: { readonly taken_at: number; readonly now: number },
  ): readonly string[] {
    const { taken_at, now } = times;
    const loaded = new Set(report.loaded);
    const missing = this.records()
      .filter((record) =>
        resolves(record, taken_at) && !loaded.has(record.name)
      )
      .map((record) => record.name);
    for (const name of missing) this.delete(name);
    for (const record of this.records()) {
      if (resolves(record, taken_at)) this.#confirm(record, report, taken_at);
    }
    // An older report may still list what was evicted since.
    if (taken_at > this.#last_order_at && !this.#hasOrderInProgress()) {
      for (const name of loaded) this.#addReported(name, taken_at, now);
    }
    return missing;
  }

  #hasOrderInProgress(): boolean {
    return this.records().some((record) =>
      record.status === "loading" || record.status === "evicting"
    );
  }

  #confirm(
    record: AdapterRecord,
    report: EngineReport,
    taken_at: number,
  ): void {
    const doubt_at = isIdle(record, report, taken_at)
      ? undefined
      : record.in_doubt_since;
    const status = "loaded";
    const since = record.status === "unknown" ? taken_at : record.since;
    this.#records.set(record.name, {
      ...record,
      status,
      since,
      in_doubt_since: doubt_at,
    });
  }

  #addReported(name: string, taken_at: number, now: number): void {
    if (this.#records.has(name)) return;
    this.set(name, { status: "loaded", now: taken_at });
    this.doubt(name, now);
  }
}

/** Decaying number of recent grants. */
export function recentGrantCount(record: AdapterRecord, now: number): number {
  const age_ms = now - record.value_at;
  return record.value * 0.5 ** (age_ms / GRANT_COUNT_HALF_LIFE_MS);
}

/** True if a report taken at `taken_at` tells the status of the record. */
function resolves(record: AdapterRecord, taken_at: number): boolean {
  if (record.status === "unknown") return taken_at >= record.settled_at;
  return record.status === "loaded" && taken_at > record.since;
}

function isIdle(
  record: AdapterRecord,
  report: EngineReport,
  taken_at: number,
): boolean {
  if (
    record.in_doubt_since === undefined || taken_at <= record.in_doubt_since
  ) {
    return false;
  }
  return (report.running[record.name] ?? 0) === 0;
}
