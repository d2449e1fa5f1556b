/** How long the path to an engine and back takes at present.
 *
 * A write into a connection is no arrival: on a link that carries more than it
 * can, bytes are under way for seconds. Every response bounds the path from
 * above, so the fastest recent one is taken; while nothing arrives, the path
 * takes at least as long as the oldest request has been waiting.
 *
 * @module
 */

/** How long a response counts, in milliseconds. */
const VALID_MS = 3000;

/** Number of responses that are kept; with more, older ones are dropped. */
const KEPT_MAX = 16;

/** A request that waits for its response. */
export interface PathProbe {
  readonly startedAt: number;
}

/** The path to one engine, as this instance's requests show it. */
export class EnginePath {
  readonly #waiting = new Set<PathProbe>();
  #responses: readonly { readonly at: number; readonly ms: number }[] = [];

  /** Records that a request is sent at `now`. */
  start(now: number): PathProbe {
    const probe = { startedAt: now };
    this.#waiting.add(probe);
    return probe;
  }

  /** Records that the response to a request has begun at `now`. */
  recordResponse(probe: PathProbe, now: number): void {
    this.#waiting.delete(probe);
    const response = { at: now, ms: now - probe.startedAt };
    this.#responses = [...this.#responses.slice(1 - KEPT_MAX), response];
  }

  /** Records that a request has ended, with or without a response. */
  end(probe: PathProbe): void {
    this.#waiting.delete(probe);
  }

  /** Time from the sending of a request to the response, in milliseconds, if the
   * engine replied at once; 0 if nothing is known.
   *
   * @example
   * ```ts
   * if (view.path.delayMs(now) >= timeLeftMs) refuse();
   * ```
   */
  delayMs(now: number): number {
    const recent = this.#responses.filter(({ at }) => now - at < VALID_MS);
    const lastAt = this.#responses.at(-1)?.at ?? -Infinity;
    const [oldest] = this.#waiting;
    const silentMs = oldest === undefined
      ? 0
      : now - Math.max(oldest.startedAt, lastAt);
    const fastestMs = recent.length === 0
      ? 0
      : Math.min(...recent.map(({ ms }) => ms));
    return Math.max(fastestMs, silentMs);
  }
}
