/** Moves a request from an engine that sends nothing to another engine.
 *
 * Silence shows nothing: the engine may be gone, or bytes may be under way. So
 * the first engine keeps the request until the other one has accepted it, and
 * goes on with it if the other one does not. Since two engines must not work on
 * one request, the first loses it soon after it was written to the other one,
 * accepted or not.
 *
 * @module
 */
import type { EngineView } from "@banyanlb/serving";
import type { AttemptOutcome, Successor } from "../attempt_outcome.ts";

/** How long the first engine may keep a request that was written to the other
 * one, in milliseconds. Deployments allow that both work on it for 400 ms, and
 * it takes time until an engine hears that its connection was closed. */
const KEPT_MS = 250;

/** The attempt at the engine that sends nothing. */
export interface SilentAttempt {
  readonly view: EngineView;
  /** Stops reading from the engine. */
  hold(): void;
  /** Reads from the engine again, and waits for it. */
  resume(): void;
  /** Ends the attempt in favour of another one. */
  yieldTo(successor: Successor): void;
}

/** The attempt at the other engine. */
export interface StartedAttempt extends Successor {
  /** Calls `listener` when the request is written to a connection to the
   * engine. */
  onSent(listener: () => void): void;
  /** Calls `listener` when the engine has begun an answer that can be
   * forwarded. */
  onAccepted(listener: () => void): void;
  /** Ends the attempt. */
  abandon(): void;
}

/** One hand-over, from the start of the other attempt until one is left. */
export class Handover {
  readonly #current: SilentAttempt;
  readonly #next: StartedAttempt;
  readonly #onFailure: (outcome: AttemptOutcome) => void;
  #isOver = false;
  #keepTimer: NodeJS.Timeout | undefined;

  /** `onFailure` is called if the other engine did not accept the request; the
   * first one goes on with it. */
  constructor(
    current: SilentAttempt,
    next: StartedAttempt,
    onFailure: (outcome: AttemptOutcome) => void,
  ) {
    this.#current = current;
    this.#next = next;
    this.#onFailure = onFailure;
    next.onSent(() => this.#hold());
    next.onAccepted(() => this.complete());
    void next.outcome.then((outcome) => this.#fail(outcome));
  }

  /** Whether the request was written to the other engine, which has not accepted
   * it yet. */
  get isHolding(): boolean {
    return !this.#isOver && this.#keepTimer !== undefined;
  }

  /** Leaves the request to the other engine. */
  complete(): void {
    if (this.#end()) this.#current.yieldTo(this.#next);
  }

  /** Leaves the request to the first engine, or ends it at both if that has
   * ended. */
  cancel(): void {
    if (this.#end()) this.#next.abandon();
  }

  #hold(): void {
    if (this.#isOver) return;
    this.#current.hold();
    this.#keepTimer = setTimeout(() => this.complete(), KEPT_MS);
  }

  #fail(outcome: AttemptOutcome): void {
    if (!this.#end()) return;
    this.#onFailure(outcome);
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
