/** The right to send one call, once.
 *
 * @module
 */
import type { Clock, Intent, StoreKey, Versioned } from "@banyanlb/core";
import { type IntentResponse, toFinishedRecord } from "./intent_record.ts";
import type { RecordWriter } from "./record_writer.ts";
import type { UnsentAttempts } from "./unsent_attempts.ts";

/** What a taken intent is made of. */
export interface TakenIntentOptions {
  readonly key: StoreKey;
  /** The record as its taker wrote it. */
  readonly record: Versioned<Intent>;
  /** Reading of `clock` after which nothing may be sent. */
  readonly deadline: number;
  readonly clock: Clock;
  readonly writer: RecordWriter;
  readonly unsent: UnsentAttempts;
}

/** A call that this process alone may send, at most once.
 *
 * @example
 * ```ts
 * if (!taken.isUsable()) return taken.markNotRun();
 * const res = await send(req); // in the same turn as the check
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

  /** True if the call may be sent in this turn of the event loop. */
  isUsable(): boolean {
    return !this.#is_ended &&
      this.#options.clock.now() < this.#options.deadline;
  }

  /** Records the whole response in the background. */
  finish(response: IntentResponse): void {
    if (this.#is_ended) return;
    this.#is_ended = true;
    this.#enqueue(toFinishedRecord(this.#options.record.value, response));
  }

  /** Lets the call be taken again. Only if no byte of it was sent. */
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
