/** An owner's view of the adapters on one engine.
 *
 * @module
 */
import type { EngineReport } from "@banyanlb/core";
import { GRANT_COUNT_HALF_LIFE_MS } from "./constants.ts";

/** Status of an adapter in the owner's view. `unknown`: the outcome of an order
 * is not known, and the adapter may or may not be loaded. */
export type AdapterStatus = "loading" | "loaded" | "evicting" | "unknown";

/** An adapter version that is or may be on the engine. Times are monotonic
 * milliseconds of the owner. */
export interface AdapterRecord {
  readonly name: string;
  readonly status: AdapterStatus;
  /** Time at which the adapter got its current status. */
  readonly status_since: number;
  /** Earliest time of a report that resolves an unknown status. Before it, an
   * order may still take effect. */
  readonly settled_at: number;
  /** Latest time at which a request without a permit may have started.
   * `undefined` if none can be running. A later report that shows no running
   * request clears it. */
  readonly in_doubt_since: number | undefined;
  /** Exponentially decaying count of grants, as of `value_at`. */
  readonly value: number;
  readonly value_at: number;
}

/** The adapters of one engine. Each record occupies one adapter slot. */
export class AdapterTable {
  readonly #records = new Map<string, AdapterRecord>();
  #last_order_at = -Infinity;
  /** Version that is being drained: it gets no more grants, so that it can be
   * evicted. */
  draining_version: string | undefined;

  /** Number of occupied adapter slots. */
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

  /** True if a version is loaded and is not being drained. */
  serves(name: string): boolean {
    return this.#records.get(name)?.status === "loaded" &&
      this.draining_version !== name;
  }

  /** Sets a version's status. Keeps `in_doubt_since` and the grant count. */
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
      status_since: change.now,
      settled_at: change.settled_at ?? change.now,
      in_doubt_since: old?.in_doubt_since,
      value: old?.value ?? 0,
      value_at: old?.value_at ?? change.now,
    });
  }

  /** Removes a version that is not on the engine. */
  delete(name: string): void {
    this.#records.delete(name);
    if (this.draining_version === name) this.draining_version = undefined;
  }

  /** Records that a request without a permit may be running on a version. */
  doubt(name: string, now: number): void {
    const record = this.#records.get(name);
    if (record === undefined) return;
    this.#records.set(name, { ...record, in_doubt_since: now });
  }

  /** Records that requests without a permit may be running on every version. */
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

  /** Records that an order was sent or that the engine replied to one. */
  recordOrder(now: number): void {
    this.#last_order_at = now;
  }

  /** True if a report taken now would resolve an unknown status. */
  hasResolvableOutcome(now: number): boolean {
    return this.records().some((record) =>
      record.status === "unknown" && record.settled_at <= now
    );
  }

  /** True if requests without a permit may be running on any version. */
  hasDoubt(): boolean {
    return this.records().some((record) => record.in_doubt_since !== undefined);
  }

  /** Updates the table from an engine's report. `taken_at` is the earliest time
   * at which the engine can have taken the report. Returns the versions that
   * the report shows to be no longer loaded. */
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
    // A report taken before the last order may list adapters evicted since.
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
    const in_doubt_since = isIdle(record, report, taken_at)
      ? undefined
      : record.in_doubt_since;
    const status = "loaded";
    const status_since = record.status === "unknown"
      ? taken_at
      : record.status_since;
    this.#records.set(record.name, {
      ...record,
      status,
      status_since,
      in_doubt_since,
    });
  }

  #addReported(name: string, taken_at: number, now: number): void {
    if (this.#records.has(name)) return;
    this.set(name, { status: "loaded", now: taken_at });
    this.doubt(name, now);
  }
}

/** Exponentially decaying count of an adapter's grants at `now`. */
export function recentGrantCount(record: AdapterRecord, now: number): number {
  const age_ms = now - record.value_at;
  return record.value * 0.5 ** (age_ms / GRANT_COUNT_HALF_LIFE_MS);
}

/** True if a report taken at `taken_at` shows whether the version is loaded. */
function resolves(record: AdapterRecord, taken_at: number): boolean {
  if (record.status === "unknown") return taken_at >= record.settled_at;
  return record.status === "loaded" && taken_at > record.status_since;
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
