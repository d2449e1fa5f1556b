/** Moves a request from an engine that sends nothing to another engine.
 *
 * Silence shows nothing: the engine may be gone, or bytes may be under way. So
 * the first engine keeps the request until the other one has begun an answer, and
 * goes on with it if the other one does not take it. Two engines must not work on
 * one request, so the first one loses it soon after it was written to the other
 * one, unless its answer is whole by then.
 *
 * @module
 */
import type { AttemptOutcome, Successor } from "../attempt_outcome.ts";

/** How long the first engine may keep a request that was written to the other
 * one, in milliseconds. Deployments allow that both work on it for 400 ms, and
 * it takes time until an engine hears that its connection was closed. */
const KEPT_MS = 250;

/** The attempt at the engine that sends nothing. */
export interface SilentAttempt {
  /** Keeps back what the engine sends from now on. */
  hold(): void;
  /** Goes on with the engine. */
  resume(): void;
  /** Ends the attempt in favour of another one. `failure` is why its engine
   * cannot go on; undefined if it was merely silent. */
  yieldTo(successor: Successor, failure: string | undefined): void;
}

/** The attempt at the other engine. Until it is adopted, its engine's refusals
 * and failures end it and are forwarded to nobody. */
export interface ContestedAttempt extends Successor {
  /** Calls `listener` when the request is written to a connection to the
   * engine. */
  onSent(listener: () => void): void;
  /** Calls `listener` when the engine has begun an answer that can be
   * forwarded. */
  onAccepted(listener: () => void): void;
  /** The attempt is the only one from now on. */
  adopt(): void;
  /** Ends the attempt. */
  abandon(): void;
}

/** One hand-over, from the start of the other attempt until one is left. */
export class Handover {
  readonly #current: SilentAttempt;
  readonly #next: ContestedAttempt;
  readonly #onKept: (outcome: AttemptOutcome | undefined) => void;
  #isOver = false;
  #keepTimer: NodeJS.Timeout | undefined;

  /** `onKept` is called if the first engine keeps the request, with the outcome
   * of the other attempt if that came first. */
  constructor(
    current: SilentAttempt,
    next: ContestedAttempt,
    onKept: (outcome: AttemptOutcome | undefined) => void,
  ) {
    this.#current = current;
    this.#next = next;
    this.#onKept = onKept;
    next.onSent(() => this.#hold());
    next.onAccepted(() => this.complete());
    void next.outcome.then((outcome) => this.#keep(outcome));
  }

  /** Whether the request was written to the other engine, which has not accepted
   * it yet. */
  get isHolding(): boolean {
    return !this.#isOver && this.#keepTimer !== undefined;
  }

  /** Leaves the request to the other engine. */
  complete(failure?: string): void {
    if (!this.#end()) return;
    this.#next.adopt();
    this.#current.yieldTo(this.#next, failure);
  }

  /** Leaves the request to the first engine, or ends it at both if that has
   * ended. */
  cancel(): void {
    if (this.#isOver) return;
    this.#keep(undefined);
    this.#next.abandon();
  }

  #hold(): void {
    if (this.#isOver) return;
    this.#current.hold();
    this.#keepTimer = setTimeout(() => this.complete(), KEPT_MS);
  }

  #keep(outcome: AttemptOutcome | undefined): void {
    if (!this.#end()) return;
    this.#onKept(outcome);
    this.#current.resume();
  }

  /** Returns false if the hand-over was over before. */
  #end(): boolean {
    if (this.#isOver) return false;
    this.#isOver = true;
    clearTimeout(this.#keepTimer);
    return true;
  }
}
