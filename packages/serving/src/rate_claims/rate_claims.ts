/** Units that are kept for streams which could not go on for want of units, until
 * their callers return.
 *
 * @module
 */

/** How long a caller may take to return, in milliseconds. */
const CLAIM_MS = 3000;

interface Claim {
  readonly units: number;
  readonly until: number;
}

/** The claims of streams that broke off on the units of one share. */
export class RateClaims {
  /** By the ids of the streams' first attempts, the oldest first. */
  readonly #claims = new Map<string, Claim>();

  /** Records that a stream could not go on at `now`. */
  add(stream: string, units: number, now: number): void {
    this.#claims.delete(stream);
    this.#claims.set(stream, { units, until: now + CLAIM_MS });
  }

  /** Records that a stream goes on. A caller returns to any instance, so if it has
   * no claim here, the oldest one counts as met. */
  meet(stream: string): void {
    if (this.#claims.delete(stream)) return;
    const oldest = this.#claims.keys().next();
    if (oldest.done !== true) this.#claims.delete(oldest.value);
  }

  /** Units that are claimed at `now`. */
  unitsAt(now: number): number {
    let sum = 0;
    for (const [stream, { units, until }] of this.#claims) {
      if (until <= now) this.#claims.delete(stream);
      else sum += units;
    }
    return sum;
  }
}
