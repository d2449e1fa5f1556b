/** Refuses permit requests of one owned target.
 *
 * @module
 */
import { RETRY_AFTER_MS } from "./constants.ts";
import type { TargetState } from "./target_state.ts";
import type { PermitRefusalKind, PermitRefused } from "./types.ts";
import type { Waiter } from "./waiting_list.ts";

/** Optional parts of a refusal. */
export interface RefusalOptions {
  /** Requested version, for the reply's load hint. */
  readonly version?: string | undefined;
  readonly retry_after_ms?: number;
}

/** Creates refusals and answers waiting permit requests with them. */
export class Refusals {
  readonly #state: TargetState;

  constructor(state: TargetState) {
    this.#state = state;
  }

  /** Creates a refusal and counts it by kind. Only a `busy` refusal has a load
   * hint. */
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

  /** Refuses every waiting permit request for which `matches` returns true. */
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

  /** Refuses every waiting permit request. */
  answerAll(kind: PermitRefusalKind): void {
    this.answer(kind, () => true);
  }
}
