/** One accepted request on an engine stand-in, until its response ends.
 *
 * @module
 */
import type { Batch } from "./batch.ts";
import { CompletionWriter } from "./completion_writer.ts";
import type { RequestFaults } from "./engine_faults.ts";
import type { EngineRequestRecord, RequestOutcome } from "./engine_record.ts";
import { expectedTokens, type Generation } from "./expected_text.ts";
import type { GenerationRequest } from "./generation_request.ts";
import { readDeadlineMs, readHeader } from "./generation_request.ts";
import type { Gate } from "./gate.ts";
import { sendJson } from "./http_io.ts";
import type { Exchange } from "./http_stand_in.ts";
import type { PrefixCache } from "./prefix_cache.ts";
import { timestamp } from "./timestamp.ts";

/** Another request, whose id and text a crossed response carries. */
export interface CrossedRequest {
  readonly request_id: string;
  readonly generation: Generation;
}

/** Inputs of a job. */
export interface JobContext {
  readonly exchange: Exchange;
  readonly request: GenerationRequest;
  readonly record: EngineRequestRecord;
  readonly faults: RequestFaults;
  /** Request whose id and text are sent; set only for a crossed response. */
  readonly other: CrossedRequest | undefined;
  readonly cache: PrefixCache;
  /** Closed while the engine is frozen. */
  readonly gate: Gate;
  /** Called once, when the job has ended. */
  readonly on_end: (job: EngineJob) => void;
}

/** Generates the response to one request. */
export class EngineJob {
  readonly #context: JobContext;
  readonly #writer: CompletionWriter;
  readonly #output_tokens: readonly string[];
  readonly #removeFromBatch: () => void;
  readonly #deadline_timer: NodeJS.Timeout | undefined;
  readonly #release_timer: NodeJS.Timeout | undefined;
  #held_writes: (() => void)[] | undefined;
  #next_token = 0;
  #has_ended = false;

  constructor(context: JobContext, batch: Batch) {
    const { exchange, request, record, faults, other } = context;
    this.#context = context;
    this.#output_tokens = expectedTokens(
      other?.generation ?? request.generation,
    );
    const request_id = other?.request_id ??
      readHeader(exchange.req.headers, "x-request-id");
    const ids = { request_id, request_number: record.id };
    this.#writer = new CompletionWriter(exchange.res, request, ids);
    this.#deadline_timer = this.#startDeadlineTimer();
    if (faults.response_delay_ms > 0) {
      this.#held_writes = [];
      this.#release_timer = setTimeout(
        () => this.#releaseHeldWrites(),
        faults.response_delay_ms,
      );
    }
    exchange.res.once("close", () => this.finish("cancelled"));
    this.#removeFromBatch = batch.add({
      version: request.generation.version,
      priority: record.priority,
      admit: () => this.#admit(),
      step: () => this.#step(),
    });
  }

  get version(): string {
    return this.#context.request.generation.version;
  }

  /** Ends the request early. After a deadline, a response that has not started
   * is sent as 504; any other unfinished response is ended by a connection
   * reset. */
  finish(outcome: RequestOutcome): void {
    if (this.#has_ended) return;
    this.#recordEnd(outcome);
    const { req, res } = this.#context.exchange;
    if (outcome === "deadline" && !res.headersSent) {
      return sendJson(res, 504, { value: { error: "deadline exceeded" } });
    }
    if (!res.writableEnded) req.socket.resetAndDestroy();
  }

  #startDeadlineTimer(): NodeJS.Timeout | undefined {
    const { exchange, faults } = this.#context;
    const ms = readDeadlineMs(exchange.req.headers);
    const isIgnored = faults.ignore_deadline || faults.response_delay_ms > 0;
    if (ms === undefined || isIgnored) return undefined;
    return setTimeout(() => void this.#endAtDeadline(), ms);
  }

  async #endAtDeadline(): Promise<void> {
    // A frozen engine acts on the deadline only after it resumes.
    await this.#context.gate.wait();
    this.finish("deadline");
  }

  #admit(): number {
    const { record, cache, request } = this.#context;
    const { version, prompt } = request.generation;
    record.admitted = timestamp();
    record.cached_tokens = cache.use(version, prompt);
    return Math.max(0, record.prompt_tokens - record.cached_tokens);
  }

  #step(): boolean {
    const { record, faults } = this.#context;
    const token = this.#output_tokens[this.#next_token];
    if (token !== undefined) {
      this.#next_token += 1;
      record.ran = true;
      record.tokens += 1;
      record.first_token ??= timestamp();
      this.#writeOrHold(() => this.#writer.addToken(token));
    }
    const isLast = this.#next_token >= this.#output_tokens.length;
    if (this.#hasReached(faults.reset_after_tokens, isLast)) {
      this.finish("reset");
      return false;
    }
    if (this.#hasReached(faults.cut_after_tokens, isLast)) {
      this.#complete("cut", () => this.#writer.cut());
      return false;
    }
    if (!isLast) return true;
    const outcome = this.#context.other === undefined ? "complete" : "crossed";
    this.#complete(outcome, () => this.#writer.end());
    return false;
  }

  #hasReached(after_tokens: number | undefined, isLast: boolean): boolean {
    return after_tokens !== undefined &&
      (isLast || this.#next_token >= after_tokens);
  }

  #complete(outcome: RequestOutcome, write: () => void): void {
    this.#writeOrHold(() => {
      if (this.#has_ended) return;
      this.#recordEnd(outcome);
      write();
    });
  }

  #writeOrHold(write: () => void): void {
    if (this.#held_writes === undefined) write();
    else this.#held_writes.push(write);
  }

  #releaseHeldWrites(): void {
    const writes = this.#held_writes ?? [];
    this.#held_writes = undefined;
    for (const write of writes) write();
  }

  #recordEnd(outcome: RequestOutcome): void {
    this.#has_ended = true;
    clearTimeout(this.#deadline_timer);
    clearTimeout(this.#release_timer);
    this.#removeFromBatch();
    this.#context.record.end = timestamp();
    this.#context.record.outcome = outcome;
    this.#context.on_end(this);
  }
}
