/** Active faults of an engine stand-in.
 *
 * @module
 */
import { CountedFault } from "./counted_fault.ts";
import { Gate } from "./gate.ts";
import type { EngineFaults } from "./generated/control.ts";

/** Faults that apply to one request. */
export interface RequestFaults {
  /** Number of tokens after which the connection is reset. */
  readonly reset_after_tokens: number | undefined;
  /** Number of tokens after which the response is ended cleanly, without its
   * end marker. */
  readonly cut_after_tokens: number | undefined;
  /** Time for which the response is held back. */
  readonly response_delay_ms: number;
  /** True if the response carries the id and text of another request. */
  readonly crossed: boolean;
  /** True if the request is answered 503 without running. */
  readonly refused: boolean;
  /** True if the request runs past its deadline. */
  readonly ignore_deadline: boolean;
}

/** The active faults of an engine. */
export class EngineFaultSet {
  /** Closed while the engine is frozen. */
  readonly gate = new Gate();
  readonly load_fault = new CountedFault();
  readonly #reset_fault = new CountedFault();
  readonly #cut_fault = new CountedFault();
  readonly #late_fault = new CountedFault();
  readonly #crossed_fault = new CountedFault();
  readonly #refuse_fault = new CountedFault();
  #reset_after_tokens = 0;
  #cut_after_tokens = 0;
  #response_delay_ms = 0;
  #ignore_deadline = false;
  #load_delay_ms = 0;
  #slow_token_ms = 0;

  /** Time added to each adapter load. */
  get load_delay_ms(): number {
    return this.#load_delay_ms;
  }

  /** Time added to each step of the batch. */
  get slow_token_ms(): number {
    return this.#slow_token_ms;
  }

  /** Sets the given faults; the other faults stay unchanged. */
  set(changes: EngineFaults): void {
    const { freeze, fail_loads_next, crossed_next, refuse_next } = changes;
    if (freeze !== undefined) this.gate.setOpen(!freeze);
    if (fail_loads_next !== undefined) this.load_fault.set(fail_loads_next);
    if (crossed_next !== undefined) this.#crossed_fault.set(crossed_next);
    if (refuse_next !== undefined) this.#refuse_fault.set(refuse_next);
    this.#load_delay_ms = changes.load_delay_ms ?? this.#load_delay_ms;
    this.#slow_token_ms = changes.slow_token_ms ?? this.#slow_token_ms;
    this.#ignore_deadline = changes.ignore_deadline ?? this.#ignore_deadline;
    this.#setResponseFaults(changes);
  }

  /** Clears all faults. */
  reset(): void {
    this.set({
      freeze: false,
      fail_loads_next: 0,
      load_delay_ms: 0,
      slow_token_ms: 0,
      reset_mid_stream: { after_tokens: 0, count: 0 },
      cut_without_end: { after_tokens: 0, count: 0 },
      late: { ms: 0, count: 0 },
      crossed_next: 0,
      refuse_next: 0,
      ignore_deadline: false,
    });
  }

  /** Returns the faults that apply to a new request, and counts the request for
   * each of them. A refused request counts only for the refusal. */
  consumeForRequest(): RequestFaults {
    const refused = this.#refuse_fault.consume();
    if (refused) return { ...NO_REQUEST_FAULTS, refused };
    return {
      reset_after_tokens: this.#reset_fault.consume()
        ? this.#reset_after_tokens
        : undefined,
      cut_after_tokens: this.#cut_fault.consume()
        ? this.#cut_after_tokens
        : undefined,
      response_delay_ms: this.#late_fault.consume()
        ? this.#response_delay_ms
        : 0,
      crossed: this.#crossed_fault.consume(),
      refused,
      ignore_deadline: this.#ignore_deadline,
    };
  }

  #setResponseFaults(changes: EngineFaults): void {
    const { reset_mid_stream, cut_without_end, late } = changes;
    if (reset_mid_stream !== undefined) {
      this.#reset_fault.set(reset_mid_stream.count);
      this.#reset_after_tokens = reset_mid_stream.after_tokens;
    }
    if (cut_without_end !== undefined) {
      this.#cut_fault.set(cut_without_end.count);
      this.#cut_after_tokens = cut_without_end.after_tokens;
    }
    if (late !== undefined) {
      this.#late_fault.set(late.count);
      this.#response_delay_ms = late.ms;
    }
  }
}

const NO_REQUEST_FAULTS: RequestFaults = {
  reset_after_tokens: undefined,
  cut_after_tokens: undefined,
  response_delay_ms: 0,
  crossed: false,
  refused: false,
  ignore_deadline: false,
};
