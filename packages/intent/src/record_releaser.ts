/** Background release of records that refused attempts may have written.
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

/** Dependencies of {@linkcode RecordReleaser}. */
export interface RecordReleaserDeps {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Marks records of attempts that are never sent as `not_run`, so that any
 * instance can take a repeat of the call. */
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

  /** Releases the record of a refused attempt in the background, if the store
   * holds it. Dropped if too many releases are running. */
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

  /** Waits until every record is released or given up. */
  async flush(): Promise<void> {
    await Promise.all(this.#running);
  }

  /** Makes one last attempt to release each record, then stops. */
  async close(): Promise<void> {
    this.#closing.abort();
    await this.flush();
  }

  async #releaseWithRetries(key: StoreKey, attempt_id: string): Promise<void> {
    const { signal } = this.#closing;
    for (let attempt = 0; attempt < RECORD_ATTEMPTS; attempt++) {
      const delay = this.#deps.clock.sleep(RETRY_DELAY_MAX_MS, signal);
      await delay.catch(() => {});
      // A read that started before `close` doesn't count as the last attempt.
      const is_last = signal.aborted;
      const is_resolved = await this.#releaseIfOwned(key, attempt_id);
      if (is_resolved || is_last) return;
    }
  }

  /** Queues the release of the record if the attempt wrote it. Resolves to
   * false if the store could not be read. */
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
