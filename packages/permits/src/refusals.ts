/** Refuses asks of one owned target.
 *
 * @module
 */
import { RETRY_AFTER_MS } from "./constants.ts";
import type { TargetState } from "./target_state.ts";
import type { PermitRefusalKind, PermitRefused } from "./types.ts";
import type { Waiter } from "./waiting_list.ts";

/** What a refusal carries besides its kind. */
export interface RefusalOptions {
  /** Version asked for, for the load that the reply carries. */
  readonly version?: string | undefined;
  readonly retry_after_ms?: number;
}

/** Creates refusals and answers waiting asks with them. */
export class Refusals {
  readonly #state: TargetState;

  constructor(state: TargetState) {
    this.#state = state;
  }

  /** A refusal, which is counted by kind. */
  create(kind: PermitRefusalKind, options: RefusalOptions = {}): PermitRefused {
    const state = this.#state;
    state.deps.metrics.count("permits.refused", { reason: kind });
    const refused = {
      kind,
      retry_after_ms: options.retry_after_ms ?? RETRY_AFTER_MS,
      epoch: state.epoch,
    };
    if (kind !== "busy") return refused;
    return { ...refused, hint: state.loadHintFor(options.version) };
  }

  /** Answers every waiting ask that `matches`. */
  answer(
    kind: PermitRefusalKind,
    matches: (waiter: Waiter) => boolean,
    options: RefusalOptions = {},
  ): void {
    for (const waiter of this.#state.waiting.filter(matches)) {
      const { version } = waiter.ask;
      const reply = this.create(kind, { version, ...options });
      this.#state.waiting.end(waiter.key, reply);
    }
  }

  /** Answers every waiting ask. */
  answerAll(kind: PermitRefusalKind): void {
    this.answer(kind, () => true);
  }
}
