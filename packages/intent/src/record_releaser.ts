/** Frees records that a refused attempt may have left behind.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import type {
  Clock,
  Intent,
  Metrics,
  ObjectStore,
  StoreKey,
} from "@banyanlb/core";
import {
  RECORD_ATTEMPTS,
  RELEASE_CONCURRENCY_MAX,
  RETRY_DELAY_MAX_MS,
  STORE_TIMEOUT_MS,
} from "./constants.ts";
import type { RecordWriter } from "./record_writer.ts";

/** What the releaser needs. */
export interface RecordReleaserDeps {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Marks records of attempts that will never be sent as `not_run`, so that a
 * repeat may be taken on other instances too. */
export class RecordReleaser {
  readonly #deps: RecordReleaserDeps;
  readonly #writer: RecordWriter;
  readonly #closing = new AbortController();
  readonly #running = new Set<Promise<void>>();

  constructor(deps: RecordReleaserDeps, writer: RecordWriter) {
    this.#deps = deps;
    this.#writer = writer;
    setMaxListeners(RELEASE_CONCURRENCY_MAX, this.#closing.signal);
  }

  /** Looks for the record of an attempt that was refused and frees it. */
  add(key: StoreKey, attempt_id: string): void {
    if (this.#running.size >= RELEASE_CONCURRENCY_MAX) {
      this.#deps.metrics.count("intent.release_dropped");
      return;
    }
    const task = this.#releaseWithRetries(key, attempt_id).finally(() => {
      this.#running.delete(task);
    });
    this.#running.add(task);
  }

  /** Waits until every record was freed or given up. */
  async flush(): Promise<void> {
    await Promise.all(this.#running);
  }

  /** Looks once more for each record and stops. */
  async close(): Promise<void> {
    this.#closing.abort();
    await this.flush();
  }

  async #releaseWithRetries(key: StoreKey, attempt_id: string): Promise<void> {
    const { signal } = this.#closing;
    for (let attempt = 0; attempt < RECORD_ATTEMPTS; attempt++) {
      const delay = this.#deps.clock.sleep(RETRY_DELAY_MAX_MS, signal);
      await delay.catch(() => {});
      // A look that was under way when `close` came is not the last one.
      const is_last = signal.aborted;
      const is_resolved = await this.#releaseIfOwned(key, attempt_id);
      if (is_resolved || is_last) return;
    }
  }

  /** Frees the record if it is the attempt's. False if the store did not
   * tell. */
  async #releaseIfOwned(key: StoreKey, attempt_id: string): Promise<boolean> {
    const found = await this.#deps.store.get<Intent>(key, {
      timeout_ms: STORE_TIMEOUT_MS,
    });
    if (found.isErr()) return found.error.kind === "not_found";
    const { version, value } = found.value;
    if (value.attempt_id === attempt_id && value.state === "taken") {
      const next: Intent = { ...value, state: "not_run" };
      this.#writer.enqueue({ key, next: { version, value: next } });
    }
    return true;
  }
}
