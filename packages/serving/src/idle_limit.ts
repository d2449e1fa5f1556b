/** How long a kept connection may have been idle to be used once more.
 *
 * Engines close idle connections after a time that they state, and some drop
 * them sooner without a word: whatever is sent next is then reset. A request
 * that must not be repeated is lost by that, so the limit is learnt from cuts.
 *
 * @module
 */

/** Left unused of the stated time, in milliseconds: a request on its way must
 * not cross the engine's close. */
const ADVERTISED_MARGIN_MS = 300;

/** Part of the shortest idle time that was cut which is still used. */
const REPEATABLE_FRACTION = 0.8;
const NON_REPEATABLE_FRACTION = 0.4;

/** A connection that was cut sooner fell with its engine, not to its idle time,
 * in milliseconds. */
const IDLE_RESET_MIN_MS = 300;

/** A cut is forgotten by degrees: the learnt limit doubles in this time, in
 * milliseconds. */
const LIMIT_DOUBLING_MS = 20_000;

/** The limit for the engines of one service. */
export class IdleLimit {
  readonly #defaultMs: number;
  #shortestResetMs = Infinity;
  #resetAt = 0;

  /** `usualMs` holds as long as nothing else is stated or learnt. */
  constructor(defaultMs: number) {
    this.#defaultMs = defaultMs;
  }

  /** A connection that had been idle for `idleMs` was reset when it was used
   * again. */
  recordReset(idleMs: number, now: number): void {
    if (idleMs < IDLE_RESET_MIN_MS) return;
    this.#shortestResetMs = Math.min(this.#learnedMs(now), idleMs);
    this.#resetAt = now;
  }

  /** The idle time up to which a connection may be used, in milliseconds.
   * `statedMs` is what its engine said, if anything.
   *
   * @example
   * ```ts
   * const limit = new IdleLimit(30_000);
   * limit.allowedMs({ once: true, statedMs: 5000, now: 0 }); // 4700
   * ```
   */
  allowedMs(
    request: {
      /** Whether the request must not be sent twice. */
      readonly once: boolean;
      readonly advertisedMs: number | undefined;
      readonly now: number;
    },
  ): number {
    const advertisedLimitMs = (request.advertisedMs ?? Infinity) -
      ADVERTISED_MARGIN_MS;
    const learnedLimitMs = this.#learnedMs(request.now) *
      (request.once ? NON_REPEATABLE_FRACTION : REPEATABLE_FRACTION);
    return Math.min(this.#defaultMs, advertisedLimitMs, learnedLimitMs);
  }

  #learnedMs(now: number): number {
    return this.#shortestResetMs *
      2 ** ((now - this.#resetAt) / LIMIT_DOUBLING_MS);
  }
}
