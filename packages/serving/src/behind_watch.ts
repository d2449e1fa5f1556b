/** Notices that the store's watch lags behind what peers know.
 *
 * @module
 */

/** A peer may be ahead for this long before it is asked, in milliseconds: the
 * store tells all instances within a few, and slow ones within hundreds. */
const LAG_TOLERANCE_MS = 400;

/** One kind of records. */
export class LagDetector {
  readonly #toleranceMs: number;
  #peerRevision = 0;
  #behindSince = 0;

  /** `waitMs` is how long a peer may be ahead. */
  constructor(toleranceMs = LAG_TOLERANCE_MS) {
    this.#toleranceMs = toleranceMs;
  }

  /** Takes in a peer's revision; tells whether the peer should be asked now.
   * Peers that lag as well do not put the time back.
   *
   * @example
   * ```ts
   * watch.note({ mine: 5, theirs: 7, now: 0 }); // false
   * watch.note({ mine: 5, theirs: 7, now: 500 }); // true
   * ```
   */
  observe(
    revisions: {
      readonly ownRevision: number;
      readonly peerRevision: number;
      readonly now: number;
    },
  ): boolean {
    const { ownRevision, peerRevision, now } = revisions;
    if (ownRevision >= this.#peerRevision && peerRevision > ownRevision) {
      this.#peerRevision = peerRevision;
      this.#behindSince = now;
    }
    return peerRevision > ownRevision &&
      now - this.#behindSince >= this.#toleranceMs;
  }
}
