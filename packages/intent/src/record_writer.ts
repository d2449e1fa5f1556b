/** Background writes of call outcomes to the store.
 *
 * @module
 */
import type {
  Clock,
  EventLog,
  Intent,
  Metrics,
  ObjectStore,
  StoreError,
  StoreKey,
  Versioned,
} from "@banyanlb/core";
import {
  RECORD_ATTEMPTS,
  RECORD_CONCURRENCY,
  RECORD_QUEUE_MAX,
  RECORD_QUEUE_MAX_BYTES,
  RETRY_DELAY_MAX_MS,
  RETRY_DELAY_MS,
  STORE_TIMEOUT_MS,
} from "./constants.ts";
import { INTENT_CHANGED, INTENT_NOT_RECORDED } from "./events.ts";

/** Dependencies of {@linkcode RecordWriter}. */
export interface RecordWriterDeps {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** An update of one record. */
export interface RecordWrite {
  readonly key: StoreKey;
  /** The new value and the version that it replaces. */
  readonly next: Versioned<Intent>;
}

function bodyBytes(write: RecordWrite): number {
  return write.next.value.response?.body_base64.length ?? 0;
}

function withoutBody(write: RecordWrite): RecordWrite {
  const { response: _, ...value } = write.next.value;
  return { ...write, next: { ...write.next, value } };
}

/** A queue of record writes with limits on memory and concurrency. */
export class RecordWriter {
  readonly #deps: RecordWriterDeps;
  readonly #closing = new AbortController();
  readonly #running = new Set<Promise<void>>();
  #queue: RecordWrite[] = [];
  #queued_bytes = 0;

  constructor(deps: RecordWriterDeps) {
    this.#deps = deps;
  }

  /** Queues a write. If the queue's byte limit is exceeded, the write leaves
   * out the response. If the queue is full, the write is dropped and the record
   * stays unchanged. */
  enqueue(write: RecordWrite): void {
    if (this.#queue.length >= RECORD_QUEUE_MAX) {
      this.#drop(write, "queue_full");
      return;
    }
    const bytes = this.#queued_bytes + bodyBytes(write);
    const is_within_limit = bytes <= RECORD_QUEUE_MAX_BYTES;
    const queued = is_within_limit ? write : withoutBody(write);
    this.#queued_bytes += bodyBytes(queued);
    this.#queue.push(queued);
    this.#startWrites();
  }

  /** Waits until all queued writes are done or given up. */
  async flush(): Promise<void> {
    while (this.#running.size > 0) await Promise.all(this.#running);
  }

  /** Interrupts back-offs and gives each write one last attempt. */
  async close(): Promise<void> {
    this.#closing.abort();
    await this.flush();
  }

  #startWrites(): void {
    while (this.#running.size < RECORD_CONCURRENCY) {
      const write = this.#queue.shift();
      if (write === undefined) return;
      const task = this.#writeWithRetries(write).finally(() => {
        this.#queued_bytes -= bodyBytes(write);
        this.#running.delete(task);
        this.#startWrites();
      });
      this.#running.add(task);
    }
  }

  async #writeWithRetries(write: RecordWrite): Promise<void> {
    for (let attempt = 0; attempt < RECORD_ATTEMPTS; attempt++) {
      const error = await this.#writeOnce(write);
      if (error === undefined) return;
      if (error.kind === "conflict") return await this.#checkConflict(write);
      if (error.kind === "not_found" || error.kind === "invalid") break;
      this.#deps.metrics.count("intent.record_retry", { reason: error.kind });
      if (!await this.#backOff(attempt)) break;
    }
    this.#drop(write, "gave_up");
  }

  async #writeOnce(write: RecordWrite): Promise<StoreError | undefined> {
    const written = await this.#deps.store.update(write.key, write.next, {
      timeout_ms: STORE_TIMEOUT_MS,
    });
    return written.isErr() ? written.error : undefined;
  }

  /** Reads the record after a conflict. Either an earlier try of this write
   * took effect, or another writer changed the record. Another attempt may
   * replace a record only if its state is `not_run`; any other change is
   * logged. */
  async #checkConflict(write: RecordWrite): Promise<void> {
    const found = await this.#deps.store.get<Intent>(write.key, {
      timeout_ms: STORE_TIMEOUT_MS,
    });
    if (found.isErr()) return;
    const { attempt_id, state } = found.value.value;
    const expected = write.next.value;
    if (attempt_id === expected.attempt_id && state === expected.state) return;
    if (expected.state === "not_run") return;
    this.#deps.log.write(INTENT_CHANGED, { name: write.key.name, state });
  }

  async #backOff(attempt: number): Promise<boolean> {
    if (this.#closing.signal.aborted) return false;
    const delay_ms = Math.min(
      RETRY_DELAY_MS * 2 ** attempt,
      RETRY_DELAY_MAX_MS,
    );
    try {
      await this.#deps.clock.sleep(delay_ms, this.#closing.signal);
    } catch {
      return true;
    }
    return true;
  }

  #drop(write: RecordWrite, reason: string): void {
    this.#deps.metrics.count("intent.not_recorded", { reason });
    this.#deps.log.write(INTENT_NOT_RECORDED, {
      name: write.key.name,
      state: write.next.value.state,
      reason,
    });
  }
}
