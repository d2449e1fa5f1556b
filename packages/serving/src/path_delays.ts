/** How long messages to other regions take at present.
 *
 * Instances acknowledge each other's digests, so each instance measures round
 * trips by its own clock alone. A link that carries more than it can makes
 * digests late, and the requests and answers that share it.
 *
 * @module
 */

/** How long a measured round trip counts, in milliseconds. */
const VALID_MS = 3000;

/** Number of digest intervals without an acknowledgement after which the link
 * counts as late by the time that has passed since. */
const SILENT_INTERVALS = 3;

interface Sample {
  readonly region: string;
  readonly roundTripMs: number;
  readonly intervalMs: number;
  /** When the acknowledgement arrived, by the monotonic clock. */
  readonly at: number;
}

/** The newest round trip to each peer. */
export class PathDelays {
  readonly #samples = new Map<string, Sample>();

  /** Records that a digest to a peer was acknowledged at `at`. */
  record(peer: string, sample: Sample): void {
    this.#samples.set(peer, sample);
  }

  /** Time that a message to a region takes at most, in milliseconds: the median
   * of the round trips to its instances, since a single one may be slow by
   * itself. 0 if none is known.
   *
   * @example
   * ```ts
   * if (delays.to("south", now) > timeLeftMs) refuse();
   * ```
   */
  to(region: string, now: number): number {
    const delays: number[] = [];
    for (const [peer, sample] of this.#samples) {
      const { roundTripMs, intervalMs, at } = sample;
      const silentMs = now - at - intervalMs * SILENT_INTERVALS;
      if (now - at > VALID_MS + intervalMs) this.#samples.delete(peer);
      else if (sample.region === region) {
        delays.push(Math.max(roundTripMs, silentMs));
      }
    }
    delays.sort((a, b) => a - b);
    return delays[Math.floor(delays.length / 2)] ?? 0;
  }
}
