/** A taken intent: the right to send one call once.
 *
 * @module
 */
import type { Clock, Intent, StoreKey, Versioned } from "@banyanlb/core";
import { type IntentResponse, toFinishedRecord } from "./intent_record.ts";
import type { RecordWriter } from "./record_writer.ts";
import type { UnsentAttempts } from "./unsent_attempts.ts";

/** Options of {@linkcode TakenIntent}. */
export interface TakenIntentOptions {
  readonly key: StoreKey;
  /** The record that was written when the call was taken. */
  readonly record: Versioned<Intent>;
  /** Time on `clock` after which the call must not be sent. */
  readonly deadline: number;
  readonly clock: Clock;
  readonly writer: RecordWriter;
  readonly unsent: UnsentAttempts;
}

/** The right of this process to send one call at most once. No other process
 * may send the call meanwhile.
 *
 * @example
 * ```ts
 * if (!taken.isUsable()) return taken.markNotRun();
 * const res = await send(req); // in the same event-loop turn as the check
 * taken.finish({ status: 200, content_type: "application/json", body });
 * ```
 */
export class TakenIntent {
  readonly kind = "taken";
  readonly #options: TakenIntentOptions;
  #is_ended = false;

  constructor(options: TakenIntentOptions) {
    this.#options = options;
  }

  /** True if the call may be sent in the current turn of the event loop. */
  isUsable(): boolean {
    return !this.#is_ended &&
      this.#options.clock.now() < this.#options.deadline;
  }

  /** Records in the background that the call has finished, with its complete
   * response. */
  finish(response: IntentResponse): void {
    if (this.#is_ended) return;
    this.#is_ended = true;
    this.#enqueue(toFinishedRecord(this.#options.record.value, response));
  }

  /** Marks the call as not run, so that it can be taken again. Call this only
   * if no byte of the call was sent. */
  markNotRun(): void {
    if (this.#is_ended) return;
    this.#is_ended = true;
    const { record, unsent } = this.#options;
    unsent.add(record.value.attempt_id);
    this.#enqueue({ ...record.value, state: "not_run" });
  }

  #enqueue(value: Intent): void {
    const { key, record, writer } = this.#options;
    writer.enqueue({ key, next: { version: record.version, value } });
  }
}
