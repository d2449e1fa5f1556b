/** How many requests of each kind this instance has sent lately.
 *
 * @module
 */

/** Time after which a request counts half, in milliseconds. */
const HALF_LIFE_MS = 1000;

/** Largest number of kinds that are kept; the one that was sent first since is
 * dropped. */
const KINDS_MAX = 4096;

interface Count {
  /** Requests, each halved with its age. */
  readonly value: number;
  readonly at: number;
}

/** Recent requests, by kind. */
export class RecentSends {
  readonly #counts = new Map<string, Count>();

  /** Counts a request. */
  record(kind: string, now: number): void {
    const value = this.countOf(kind, now) + 1;
    this.#counts.delete(kind);
    this.#counts.set(kind, { value, at: now });
    if (this.#counts.size <= KINDS_MAX) return;
    for (const oldest of this.#counts.keys()) {
      this.#counts.delete(oldest);
      return;
    }
  }

  /** Number of requests of a kind, each counted for less the longer ago it was. */
  countOf(kind: string, now: number): number {
    const count = this.#counts.get(kind);
    if (count === undefined) return 0;
    return count.value * 2 ** (-(now - count.at) / HALF_LIFE_MS);
  }
}
