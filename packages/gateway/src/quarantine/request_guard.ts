/** Follows one request for the quarantine: whether it may be sent, and whether
 * its answer got past its beginning.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  type EngineView,
  isRequestKey,
  type Quarantine,
  type RequestIdentity,
  requestKeyOf,
  type SendDecision,
  type ServingInstances,
  type Suspects,
} from "@banyanlb/serving";
import type { CrashWatch } from "./crash_watch.ts";
import { heldFields, nameField } from "./crash_log.ts";
import * as events from "../events.ts";
import type { GatewayMetrics } from "../metrics.ts";

/** Time from the head of an answer after which further bytes show that the
 * engine got past its beginning, in milliseconds. */
const BEGINNING_MS = 400;

/** Why a request is refused, as its caller is told. */
const HELD_PART = "held_part";
const HELD_REQUEST = "held_request";
const LAST_ENGINE = "last_engine";

/** The request that a guard follows. */
export interface GuardedRequest {
  readonly id: string | undefined;
  readonly sharedParts: readonly string[];
  readonly identity: RequestIdentity;
  /** The engines of its service. */
  readonly engines: () => readonly EngineView[];
}

/** When the caller of a refused request may come back; undefined if nothing says
 * so. */
export interface RefusalTerms {
  readonly waitSeconds: number | undefined;
}

/** Whether a request may be sent. */
export type GuardDecision =
  | Exclude<SendDecision, { readonly kind: "refuse" }>
  | RefusalTerms & { readonly kind: "refuse"; readonly reason: string };

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
  readonly #request: GuardedRequest;
  #suspects: Suspects | undefined;
  #answerBeganAt: number | undefined;
  /** Whether an answer got past its beginning, at this or an earlier engine. */
  #isCleared = false;
  /** Keys of the engines that cut the request off before. */
  readonly #cutBy = new Set<string>();
  #trial: string | undefined;

  constructor(deps: RequestGuardDependencies, request: GuardedRequest) {
    this.#deps = deps;
    this.#request = request;
  }

  /** What of this request may crash engines: the shared parts of its prompt, and
   * the request as a whole. */
  get suspects(): Suspects {
    const { sharedParts, identity } = this.#request;
    this.#suspects ??= [...sharedParts, requestKeyOf(identity)];
    return this.#suspects;
  }

  /** Decides whether the request may be sent; logs the evidence if not. */
  decide(): GuardDecision {
    const { quarantine, instances, log } = this.#deps;
    if (quarantine.isEmpty) return { kind: "send" };
    const decision = quarantine.decide(
      this.suspects,
      instances,
      performance.now(),
    );
    if (decision.kind === "wait") return decision;
    if (decision.kind !== "refuse") return this.#spareLastEngine(decision);
    const { held } = decision;
    const { id } = this.#request;
    log.write(events.SUSPECT_REFUSED, { id, ...heldFields(held) });
    return {
      kind: "refuse",
      reason: isRequestKey(held.suspect) ? HELD_REQUEST : HELD_PART,
      waitSeconds: undefined,
    };
  }

  /** Records that the request is about to be sent, as `decide` allowed. */
  start(decision: GuardDecision): void {
    this.#answerBeganAt = undefined;
    if (decision.kind !== "trial") return;
    this.#trial = decision.suspect;
    this.#deps.quarantine.startTrial(decision.suspect, performance.now());
    this.#deps.metrics.add("part_trials_total", "");
    this.#deps.log.write(events.SUSPECT_TRIED, {
      id: this.#request.id,
      ...nameField(decision.suspect),
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
    this.#deps.quarantine.recordAnswer(this.suspects, {
      trial: this.#trial,
      now: performance.now(),
    });
  }

  /** Records that the engine broke the request off. */
  recordCut(view: EngineView): void {
    // A leaving engine ends with what it still runs.
    if (!this.#isCleared && !view.engine.leaving) {
      this.#cutBy.add(view.engine.key);
    }
    this.#deps.crashWatch.recordCut(view, {
      id: this.#request.id,
      suspects: this.suspects,
      isSuspect: !this.#isCleared,
    });
  }

  /** Whether the request may be sent again after this engine failed it. */
  mayRepeat(view: EngineView): boolean {
    const { quarantine, crashWatch } = this.#deps;
    const cutBy = [...this.#cutBy].filter((key) => !crashWatch.isRuledOut(key));
    return this.#isCleared ||
      quarantine.mayRepeat(this.suspects, [...cutBy, view.engine.key]);
  }

  /** Refuses to send to the last engine that runs a request which may have ended
   * the others. */
  #spareLastEngine(decision: GuardDecision): GuardDecision {
    const waitMs = this.#deps.quarantine.lastEngineWaitMs(
      this.suspects,
      performance.now(),
    );
    // A repeat within one attempt is judged by `mayRepeat`.
    const isRepeat = this.#cutBy.size > 0 || this.#isCleared;
    if (waitMs === 0 || isRepeat || this.#runningEngineCount() > 1) {
      return decision;
    }
    return {
      kind: "refuse",
      reason: LAST_ENGINE,
      waitSeconds: Math.ceil(waitMs / 1000),
    };
  }

  #runningEngineCount(): number {
    return this.#request.engines().filter(({ engine, down }) =>
      !engine.leaving && !down &&
      !this.#deps.quarantine.hasCrashed(engine.key)
    ).length;
  }
}
