/** How long a kept-alive connection may have been idle and still be reused.
 *
 * Engines close idle connections after a time that they advertise, and some
 * drop them sooner without notice: the next request on such a connection is
 * reset. A request that must not be repeated is lost by that, so the limit is
 * learned from resets.
 *
 * @module
 */

/** Subtracted from the advertised idle time, in milliseconds: a request must
 * not cross the engine's close on the network. */
const ADVERTISED_MARGIN_MS = 300;

/** A connection is reused up to these fractions of the shortest idle time that
 * led to a reset: the first for requests that may be repeated, the second for
 * others. */
const REPEATABLE_FRACTION = 0.8;
const NON_REPEATABLE_FRACTION = 0.4;

/** A reset after a shorter idle time, in milliseconds, is due to a failure of
 * the engine and not to the idle time. */
const IDLE_RESET_MIN_MS = 300;

/** Time in which the learned limit doubles, in milliseconds, so that a reset is
 * gradually forgotten. */
const LIMIT_DOUBLING_MS = 20_000;

/** The idle limit for the engines of one service. */
export class IdleLimit {
  readonly #defaultMs: number;
  #shortestResetMs = Infinity;
  #resetAt = 0;

  /** `defaultMs` applies while no other limit is advertised or learned. */
  constructor(defaultMs: number) {
    this.#defaultMs = defaultMs;
  }

  /** Records that a connection was reset on reuse after it had been idle for
   * `idleMs`. */
  recordReset(idleMs: number, now: number): void {
    if (idleMs < IDLE_RESET_MIN_MS) return;
    this.#shortestResetMs = Math.min(this.#learnedMs(now), idleMs);
    this.#resetAt = now;
  }

  /** The idle time up to which a connection may be reused, in milliseconds.
   * `advertisedMs` is the idle time that its engine advertised, if any.
   *
   * @example
   * ```ts
   * const limit = new IdleLimit(30_000);
   * limit.allowedMs({ once: true, advertisedMs: 5000, now: 0 }); // 4700
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
