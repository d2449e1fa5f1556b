/** Intent log: lets each call that must not be repeated be sent at most once.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
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
import { err, ok, type Result, ResultAsync } from "neverthrow";
import {
  RETRY_DELAY_MS,
  STORE_TIMEOUT_MS,
  TAKE_WRITES_MAX,
} from "./constants.ts";
import { INTENT_IN_DOUBT } from "./events.ts";
import type { IntentError } from "./intent_error.ts";
import {
  type IntentKey,
  type IntentResponse,
  intentStoreKey,
  toResponse,
  validateIntent,
} from "./intent_record.ts";
import { RecordReleaser } from "./record_releaser.ts";
import { RecordWriter } from "./record_writer.ts";
import { IntentSweeper, type SweepReport } from "./intent_sweeper.ts";
import { TakenIntent } from "./taken_intent.ts";
import { UnsentAttempts } from "./unsent_attempts.ts";

/** Dependencies of {@linkcode IntentLog}. */
export interface IntentLogDeps {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Wall-clock time in milliseconds, used for retention only. Default
   * `Date.now`. */
  readonly wall_now?: () => number;
}

/** A call whose intent is to be taken. */
export interface TakeRequest extends IntentKey {
  /** Lower-case hexadecimal SHA-256 of the body. */
  readonly body_sha256: string;
  /** Time on `clock` after which the call must not be sent. */
  readonly deadline: number;
}

/** An earlier attempt ran the call; `response` is the recorded response. */
export interface ReplayedCall {
  readonly kind: "replayed";
  readonly response: IntentResponse;
}

/** Another attempt took the call and may have sent it; no response is
 * recorded. */
export interface AlreadyTakenCall {
  readonly kind: "already_taken";
  /** True if the call has ended and its response was not recorded. */
  readonly finished: boolean;
}

/** Result of taking a call's intent. */
export type IntentOutcome = TakenIntent | ReplayedCall | AlreadyTakenCall;

/** State of one run of `take`. */
interface TakeAttempt {
  readonly req: TakeRequest;
  readonly key: StoreKey;
  /** The record that this attempt writes. */
  readonly mine: Intent;
  /** The record to replace; `undefined` to create a new one. */
  base: Versioned<Intent> | undefined;
  /** True once the outcome of a write of this attempt is unknown. */
  in_doubt: boolean;
}

/** The result of `take`, or `undefined` to write again. */
type TakeStep = Result<IntentOutcome, IntentError> | undefined;

/** Takes the intents of calls and records their outcomes in the platform's
 * store, where all instances see them.
 *
 * @example
 * ```ts
 * const outcome = await intents.take({ ...key, body_sha256, deadline });
 * if (outcome.isErr()) return refuse(outcome.error);
 * if (outcome.value.kind === "taken") return run(outcome.value);
 * ```
 */
export class IntentLog {
  readonly #deps: IntentLogDeps;
  readonly #writer: RecordWriter;
  readonly #releaser: RecordReleaser;
  readonly #sweeper: IntentSweeper;
  readonly #unsent = new UnsentAttempts();

  constructor(deps: IntentLogDeps) {
    this.#deps = deps;
    this.#writer = new RecordWriter(deps);
    this.#releaser = new RecordReleaser(deps, this.#writer);
    this.#sweeper = new IntentSweeper(deps);
  }

  /** Takes a call's intent, so that this process alone may send the call. If an
   * earlier attempt took it, resolves to that attempt's outcome. */
  take(req: TakeRequest): ResultAsync<IntentOutcome, IntentError> {
    return new ResultAsync(this.#take(req));
  }

  /** Removes expired records; reads a bounded number of records per call. */
  sweep(): ResultAsync<SweepReport, StoreError> {
    return this.#sweeper.sweep();
  }

  /** Waits until all queued outcomes are written or given up. */
  async flush(): Promise<void> {
    await this.#releaser.flush();
    await this.#writer.flush();
  }

  /** Makes one last attempt to write each queued outcome, then stops. */
  async close(): Promise<void> {
    await this.#releaser.close();
    await this.#writer.close();
  }

  async #take(
    req: TakeRequest,
  ): Promise<Result<IntentOutcome, IntentError>> {
    const attempt: TakeAttempt = {
      req,
      key: intentStoreKey(req),
      mine: this.#newRecord(req),
      base: undefined,
      in_doubt: false,
    };
    let error: StoreError | undefined;
    for (let calls = 0; calls < TAKE_WRITES_MAX; calls++) {
      if (this.#deps.clock.now() >= req.deadline) break;
      const written = await this.#write(attempt);
      if (written.isOk()) return ok(this.#createTaken(attempt, written.value));
      error = written.error;
      if (error.kind === "throttled" || error.kind === "invalid") break;
      if (error.kind === "unavailable") attempt.in_doubt = true;
      const step = await this.#readBack(attempt);
      if (step !== undefined) return this.#countOutcome(step);
    }
    return this.#refuse(attempt, error);
  }

  #newRecord(req: TakeRequest): Intent {
    const wall_now = this.#deps.wall_now ?? Date.now;
    return {
      attempt_id: randomUUID(),
      body_sha256: req.body_sha256,
      created_ms: wall_now(),
      state: "taken",
    };
  }

  /** Writes the attempt's record. Repeating the write is safe: a create fails
   * if the object exists, and an update fails if its object's version has
   * changed. */
  #write(attempt: TakeAttempt): ResultAsync<string, StoreError> {
    const { base, key, mine } = attempt;
    const options = { timeout_ms: this.#timeoutMs(attempt) };
    if (base === undefined) return this.#deps.store.create(key, mine, options);
    const next = { version: base.version, value: mine };
    return this.#deps.store.update(key, next, options);
  }

  /** Reads the record after a write that failed or whose outcome is unknown.
   * Resolves to `undefined` if the write is to be repeated. */
  async #readBack(attempt: TakeAttempt): Promise<TakeStep> {
    const found = await this.#deps.store.get<Intent>(attempt.key, {
      timeout_ms: this.#timeoutMs(attempt),
    });
    if (found.isOk()) return this.#evaluateRecord(attempt, found.value);
    if (found.error.kind === "not_found") attempt.base = undefined;
    else await this.#deps.clock.sleep(RETRY_DELAY_MS);
    return undefined;
  }

  #evaluateRecord(attempt: TakeAttempt, found: Versioned<Intent>): TakeStep {
    const record = validateIntent(found.value);
    if (record.isErr()) return undefined;
    const { attempt_id, body_sha256, state } = record.value;
    if (attempt_id === attempt.mine.attempt_id && state === "taken") {
      return ok(this.#createTaken(attempt, found.version));
    }
    if (body_sha256 !== attempt.mine.body_sha256) return err(keyReusedError());
    if (state === "not_run" || this.#unsent.has(attempt_id)) {
      attempt.base = found;
      return undefined;
    }
    const response = toResponse(record.value);
    if (response !== undefined) return ok({ kind: "replayed", response });
    return ok({ kind: "already_taken", finished: state === "done" });
  }

  #createTaken(attempt: TakeAttempt, version: string): TakenIntent {
    this.#deps.metrics.count("intent.take", { outcome: "taken" });
    return new TakenIntent({
      key: attempt.key,
      record: { version, value: attempt.mine },
      deadline: attempt.req.deadline,
      clock: this.#deps.clock,
      writer: this.#writer,
      unsent: this.#unsent,
    });
  }

  #refuse(
    attempt: TakeAttempt,
    error: StoreError | undefined,
  ): Result<IntentOutcome, IntentError> {
    if (attempt.in_doubt) {
      // This attempt never sends the call, so a later attempt may replace its
      // record.
      this.#unsent.add(attempt.mine.attempt_id);
      this.#releaser.add(attempt.key, attempt.mine.attempt_id);
      this.#deps.log.write(INTENT_IN_DOUBT, { name: attempt.key.name });
    }
    const retry_after_ms = error?.kind === "throttled"
      ? error.retry_after_ms
      : STORE_TIMEOUT_MS;
    return this.#countOutcome(err({
      kind: "store_unavailable",
      message: "the intent could not be recorded in time, the call was not " +
        "sent; repeat it with the same Idempotency-Key",
      not_run: true,
      retry_after_ms,
    }));
  }

  #countOutcome(
    step: Result<IntentOutcome, IntentError>,
  ): Result<IntentOutcome, IntentError> {
    const kind = step.isOk() ? step.value.kind : step.error.kind;
    if (kind !== "taken") {
      this.#deps.metrics.count("intent.take", { outcome: kind });
    }
    return step;
  }

  #timeoutMs(attempt: TakeAttempt): number {
    const remaining = attempt.req.deadline - this.#deps.clock.now();
    return Math.max(1, Math.min(STORE_TIMEOUT_MS, remaining));
  }
}

function keyReusedError(): IntentError {
  return {
    kind: "key_reused",
    message: "the Idempotency-Key was used with another body; use a new key",
  };
}
