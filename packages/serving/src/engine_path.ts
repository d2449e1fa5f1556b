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

/** Time without a request in progress after which earlier ones that were given up
 * show nothing more, in milliseconds. */
const IDLE_MS = 500;

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
  #responses: readonly Response[] = [];
  #reported = { ms: 0, at: -Infinity };
  /** When the first request was sent that was given up, of those without a
   * response to a later one; and when the last of them was. */
  #givenUpSince = Infinity;
  #givenUpAt = -Infinity;

  /** Number of requests that wait for their response. */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /** Records that a request is sent at `now`. */
  start(now: number): PathProbe {
    const probe = { startedAt: now };
    const isIdle = this.#waiting.size === 0 && now - this.#givenUpAt > IDLE_MS;
    if (isIdle) this.#givenUpSince = Infinity;
    this.#waiting.add(probe);
    return probe;
  }

  /** Records that the response to a request has begun at `now`. */
  recordResponse(probe: PathProbe, now: number): void {
    if (!this.#waiting.delete(probe)) return;
    const { startedAt } = probe;
    this.#responses = [
      ...this.#responses.slice(1 - COUNTED),
      { startedAt, at: now, ms: now - startedAt },
    ];
    if (startedAt >= this.#givenUpSince) this.#givenUpSince = Infinity;
  }

  /** Records that a request has ended at `now`, given up if it had no response. */
  end(probe: PathProbe, now: number): void {
    if (!this.#waiting.delete(probe)) return;
    if (probe.startedAt <= this.#answeredUpTo) return;
    this.#givenUpSince = Math.min(this.#givenUpSince, probe.startedAt);
    this.#givenUpAt = now;
  }

  /** Records that the path from an instance that is no farther from the engine
   * takes `ms`. It counts until this instance has sent requests later. */
  recordReport(ms: number, now: number): void {
    this.#reported = { ms, at: now };
  }

  /** What this instance's own requests show, see `delayMs`. */
  ownDelayMs(now: number): number {
    let fastestMs = Infinity;
    for (const { at, ms } of this.#responses) {
      if (now - at < VALID_MS && ms < fastestMs) fastestMs = ms;
    }
    return Math.max(
      fastestMs === Infinity ? 0 : fastestMs,
      this.#waitedMs(now),
    );
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
    let answeredUpTo = -Infinity;
    for (const { startedAt } of this.#responses) {
      if (startedAt > answeredUpTo) answeredUpTo = startedAt;
    }
    return answeredUpTo;
  }

  /** How long no request has been answered that was sent after all that were. */
  #waitedMs(now: number): number {
    const answeredUpTo = this.#answeredUpTo;
    let since = this.#givenUpSince;
    let isWaiting = false;
    for (const { startedAt } of this.#waiting) {
      if (startedAt <= answeredUpTo) continue;
      since = Math.min(since, startedAt);
      isWaiting = true;
    }
    if (isWaiting) return now - since;
    const isForgotten = now - this.#givenUpAt >= VALID_MS;
    return isForgotten ? 0 : Math.max(0, this.#givenUpAt - since);
  }
}
