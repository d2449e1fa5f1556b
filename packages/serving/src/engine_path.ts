/** How long the path to an engine and back takes at present.
 *
 * A write into a connection is no arrival: on a link that carries more than it
 * can, bytes are under way for seconds. Each response bounds the path from
 * above, and requests that wait bound it from below. The latest ones count,
 * since a link becomes full within a moment.
 *
 * @module
 */

/** How long a response counts, in milliseconds. */
const VALID_MS = 5000;

/** Number of responses that count: the fastest of them, since an engine may be
 * slow with a single one. */
const COUNTED = 3;

/** How long a delay counts that a peer reports, in milliseconds. */
const REPORT_VALID_MS = 1500;

/** A request that waits for its response. */
export interface PathProbe {
  readonly startedAt: number;
}

interface Response {
  readonly startedAt: number;
  readonly at: number;
  readonly ms: number;
}

/** The path to one engine, as this instance's requests show it. */
export class EnginePath {
  readonly #waiting = new Set<PathProbe>();
  /** The latest responses, and requests that were given up. */
  #responses: readonly Response[] = [];
  #reported = { ms: 0, at: -Infinity };

  /** Records that a request is sent at `now`. */
  start(now: number): PathProbe {
    const probe = { startedAt: now };
    this.#waiting.add(probe);
    return probe;
  }

  /** Records that the response to a request has begun at `now`. */
  recordResponse(probe: PathProbe, now: number): void {
    if (!this.#waiting.delete(probe)) return;
    this.#add(probe, { now, ms: now - probe.startedAt });
  }

  /** Records that a request has ended at `now`. One that was given up shows that
   * the path is no faster than was known. */
  end(probe: PathProbe, now: number): void {
    if (!this.#waiting.has(probe)) return;
    const ms = Math.max(now - probe.startedAt, this.delayMs(now));
    this.#waiting.delete(probe);
    this.#add(probe, { now, ms });
  }

  /** Records that the path from an instance that is no farther from the engine
   * takes `ms`. It counts until this instance has sent requests later. */
  recordReport(ms: number, now: number): void {
    this.#reported = { ms, at: now };
  }

  /** What this instance's own requests show, see `delayMs`. */
  ownDelayMs(now: number): number {
    const recent = this.#responses.filter(({ at }) => now - at < VALID_MS);
    const fastestMs = recent.length === 0
      ? 0
      : Math.min(...recent.map(({ ms }) => ms));
    return Math.max(fastestMs, this.#waitedMs(now));
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
    const { ms, at } = this.#reported;
    const isReportValid = now - at < REPORT_VALID_MS &&
      this.#answeredUpTo <= at;
    return Math.max(isReportValid ? ms : 0, this.ownDelayMs(now));
  }

  /** When the latest of the requests was sent that were answered. */
  get #answeredUpTo(): number {
    return Math.max(
      -Infinity,
      ...this.#responses.map(({ startedAt }) => startedAt),
    );
  }

  /** How long requests have been waiting, in the median, that were sent after all
   * that were answered. */
  #waitedMs(now: number): number {
    const answeredUpTo = this.#answeredUpTo;
    const waited = [...this.#waiting]
      .filter(({ startedAt }) => startedAt > answeredUpTo)
      .map(({ startedAt }) => now - startedAt);
    // In the order of their sending.
    return waited[Math.floor(waited.length / 2)] ?? 0;
  }

  #add(
    { startedAt }: PathProbe,
    { now, ms }: { readonly now: number; readonly ms: number },
  ): void {
    this.#responses = [
      ...this.#responses.slice(1 - COUNTED),
      { startedAt, at: now, ms },
    ];
  }
}
