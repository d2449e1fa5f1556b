/** Follows one request for the quarantine of prompt parts: whether it may be
 * sent, and whether its answer got past its beginning.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import type {
  CallerRequest,
  EngineView,
  Quarantine,
  SendDecision,
  ServingInstances,
} from "@banyanlb/serving";
import type { CrashWatch } from "./crash_watch.ts";
import { heldFields } from "./crash_log.ts";
import * as events from "../events.ts";
import type { GatewayMetrics } from "../metrics.ts";

/** Time from the head of an answer after which further bytes show that the
 * engine got past its beginning, in milliseconds. */
const BEGINNING_MS = 400;

/** Parts of the gateway that the guard uses. */
export interface RequestGuardDependencies {
  readonly quarantine: Quarantine;
  readonly crashWatch: CrashWatch;
  readonly instances: () => ServingInstances;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** The guard of one request. */
export class RequestGuard {
  readonly #deps: RequestGuardDependencies;
  readonly #caller: CallerRequest;
  #answerBeganAt: number | undefined;
  /** Whether an answer got past its beginning, at this or an earlier engine. */
  #isCleared = false;
  #trial: string | undefined;

  constructor(deps: RequestGuardDependencies, caller: CallerRequest) {
    this.#deps = deps;
    this.#caller = caller;
  }

  /** Decides whether the request may be sent; logs the evidence if not. */
  decide(): SendDecision {
    const decision = this.#deps.quarantine.decide(
      this.#caller.sharedParts,
      this.#deps.instances,
      performance.now(),
    );
    if (decision.kind === "refuse") {
      this.#deps.log.write(events.PART_REFUSED, {
        id: this.#caller.id,
        ...heldFields(decision.held),
      });
    }
    return decision;
  }

  /** Records that the request is about to be sent, as `decide` allowed. */
  start(decision: SendDecision): void {
    this.#answerBeganAt = undefined;
    if (decision.kind !== "trial") return;
    this.#trial = decision.suspect;
    this.#deps.quarantine.startTrial(decision.suspect, performance.now());
    this.#deps.metrics.add("part_trials_total", "");
    this.#deps.log.write(events.PART_TRIED, {
      id: this.#caller.id,
      part: decision.suspect,
      ...this.#deps.quarantine.beliefOn(decision.suspect),
    });
  }

  /** Records that the head of an answer has arrived. */
  recordHead(): void {
    this.#answerBeganAt = performance.now();
  }

  /** Records that bytes of an answer have arrived. */
  recordBytes(): void {
    const beganAt = this.#answerBeganAt ?? Infinity;
    if (performance.now() - beganAt >= BEGINNING_MS) this.recordAnswer();
  }

  /** Records that an answer got past its beginning, for example because it is
   * complete. */
  recordAnswer(): void {
    if (this.#isCleared) return;
    this.#isCleared = true;
    this.#deps.quarantine.recordAnswer(this.#caller.sharedParts, {
      trial: this.#trial,
      now: performance.now(),
    });
  }

  /** Records that the engine broke the request off. */
  recordCut(view: EngineView): void {
    this.#deps.crashWatch.recordCut(view, {
      id: this.#caller.id,
      parts: this.#caller.sharedParts,
      isSuspect: !this.#isCleared,
    });
  }

  /** Whether the request may be sent again after this engine broke it off. */
  mayRepeat(view: EngineView): boolean {
    return this.#isCleared || this.#deps.quarantine.mayRepeat(
      this.#caller.sharedParts,
      view.engine.key,
    );
  }
}
