/** Detects that the store's watch lags behind the peers' revisions.
 *
 * @module
 */

/** How long a peer may be ahead before its records are requested, in
 * milliseconds: the store notifies all instances within a few milliseconds, and
 * slow ones within hundreds. */
const LAG_TOLERANCE_MS = 400;

/** Detects lag for one kind of records. */
export class LagDetector {
  readonly #toleranceMs: number;
  #peerRevision = 0;
  #behindSince = 0;

  /** `toleranceMs` is how long a peer may be ahead. */
  constructor(toleranceMs = LAG_TOLERANCE_MS) {
    this.#toleranceMs = toleranceMs;
  }

  /** Records a peer's revision; returns whether the peer's records should be
   * requested now. Peers that lag as well do not restart the tolerance.
   *
   * @example
   * ```ts
   * detector.observe({ ownRevision: 5, peerRevision: 7, now: 0 }); // false
   * detector.observe({ ownRevision: 5, peerRevision: 7, now: 500 }); // true
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
