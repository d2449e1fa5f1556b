/** Removal of intent records whose retention has expired.
 *
 * @module
 */
import type {
  Intent,
  Metrics,
  ObjectStore,
  StoreError,
  StoreKey,
  Versioned,
} from "@banyanlb/core";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import {
  RETENTION_MS,
  STORE_TIMEOUT_MS,
  SWEEP_READS_MAX,
  WALL_CLOCK_MARGIN_MS,
} from "./constants.ts";
import { validateIntent } from "./intent_record.ts";

/** Dependencies of {@linkcode IntentSweeper}. */
export interface IntentSweeperDeps {
  readonly store: ObjectStore;
  readonly metrics: Metrics;
  /** Wall-clock time in milliseconds. Default `Date.now`. */
  readonly wall_now?: () => number;
}

/** Counts of one sweep. */
export interface SweepReport {
  /** Number of records read. */
  readonly read: number;
  /** Number of records removed. */
  readonly removed: number;
}

/** Scans all records in the order of their names. Each sweep reads a bounded
 * number of records and continues where the previous sweep stopped. */
export class IntentSweeper {
  readonly #deps: IntentSweeperDeps;
  #last_name = "";

  constructor(deps: IntentSweeperDeps) {
    this.#deps = deps;
  }

  /** Reads the next records and removes the expired ones. */
  sweep(): ResultAsync<SweepReport, StoreError> {
    return new ResultAsync(this.#sweep());
  }

  async #sweep(): Promise<Result<SweepReport, StoreError>> {
    const listed = await this.#deps.store.list("intent", {
      timeout_ms: STORE_TIMEOUT_MS,
    });
    if (listed.isErr()) return err(listed.error);
    const names = this.#selectNames(listed.value);
    let removed = 0;
    for (const name of names) {
      const removal = await this.#removeIfExpired({ kind: "intent", name });
      if (removal.isErr()) return err(removal.error);
      if (removal.value) removed++;
      this.#last_name = name;
    }
    this.#deps.metrics.count("intent.swept", {}, removed);
    return ok({ read: names.length, removed });
  }

  #selectNames(names: readonly string[]): readonly string[] {
    const sorted = [...names].sort();
    const rest = sorted.filter((name) => name > this.#last_name);
    const from = rest.length === 0 ? sorted : rest;
    return from.slice(0, SWEEP_READS_MAX);
  }

  async #removeIfExpired(key: StoreKey): Promise<Result<boolean, StoreError>> {
    const options = { timeout_ms: STORE_TIMEOUT_MS };
    const found = await this.#deps.store.get<Intent>(key, options);
    if (found.isErr()) return ignoreConcurrentChange(found.error);
    if (!this.#isExpired(found.value)) return ok(false);
    const removed = await this.#deps.store.remove(
      key,
      found.value.version,
      options,
    );
    return removed.isErr() ? ignoreConcurrentChange(removed.error) : ok(true);
  }

  #isExpired(found: Versioned<Intent>): boolean {
    const record = validateIntent(found.value);
    if (record.isErr()) return false;
    const wall_now = this.#deps.wall_now ?? Date.now;
    const age_ms = wall_now() - record.value.created_ms;
    return age_ms > RETENTION_MS + WALL_CLOCK_MARGIN_MS;
  }
}

/** Treats a record that was changed or removed concurrently as not removed by
 * this sweep. */
function ignoreConcurrentChange(
  error: StoreError,
): Result<boolean, StoreError> {
  if (error.kind === "not_found" || error.kind === "conflict") return ok(false);
  return err(error);
}
