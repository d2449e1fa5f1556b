/** Moves a request from an engine that sends nothing to another engine.
 *
 * Silence shows nothing: the engine may be gone, or bytes may be under way. So
 * the first engine keeps the request until the other one has begun an answer, and
 * goes on with it if the other one does not take it. Two engines must not work on
 * one request, so the first one loses it soon after it was written to both,
 * unless its answer is whole by then. An engine without a connection works on
 * nothing, so its attempt goes on until the other one has begun an answer.
 *
 * If the other one is silent as well and there is no third, the first one is asked
 * once more. It has the same short time to begin an answer, and does not get the
 * request for its silence.
 *
 * @module
 */
import type { AttemptOutcome, Successor } from "../attempt_outcome.ts";

/** How long the first engine may keep a request that was written to both, in
 * milliseconds. Deployments allow that both work on it for 400 ms, and
 * it takes time until an engine hears that its connection was closed. */
const KEPT_MS = 250;

/** The attempt at the engine that sends nothing. */
export interface SilentAttempt {
  /** Whether the request must not be written to a second engine. */
  readonly isExclusive: boolean;
  /** Whether the attempt goes on unless the other engine answers soon: that one
   * has lost the request before because it was silent. */
  readonly isPreferred: boolean;
  /** Whether the request may have been written to the engine. */
  isSent(): boolean;
  /** Calls `listener` when the request is about to be written to a connection to
   * the engine. */
  onSent(listener: () => void): void;
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
  /** Calls `listener` when a further engine could be asked, since this one sends
   * nothing. */
  onSilent(listener: () => void): void;
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
  #isNextSent = false;
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
    next.onSent(() => this.#recordNextSent());
    if (!current.isSent()) current.onSent(() => this.#recordCurrentSent());
    next.onAccepted(() => this.complete());
    next.onSilent(() => {
      if (!current.isSent()) this.complete();
    });
    void next.outcome.then((outcome) => this.#keep(outcome));
  }

  /** Whether one attempt is left. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** Whether the request was written to the other engine, which has not accepted
   * it yet. */
  get isHolding(): boolean {
    return !this.#isOver && this.#isNextSent;
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

  #recordNextSent(): void {
    if (this.#isOver) return;
    this.#isNextSent = true;
    if (this.#current.isSent()) this.#hold();
    else if (this.#current.isExclusive) this.complete();
  }

  #recordCurrentSent(): void {
    if (this.#isOver) return;
    if (this.#isNextSent) this.#hold();
    else this.cancel();
  }

  #hold(): void {
    this.#current.hold();
    this.#keepTimer = setTimeout(
      () => this.#current.isPreferred ? this.cancel() : this.complete(),
      KEPT_MS,
    );
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
