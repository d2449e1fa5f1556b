/** Notices that the store's watch lags behind what peers know.
 *
 * @module
 */

/** A peer may be ahead for this long before it is asked, in milliseconds: the
 * store tells all instances within a few, and slow ones within hundreds. */
const BEHIND_MS = 400;

/** One kind of records. */
export class BehindWatch {
  readonly #waitMs: number;
  #target = 0;
  #since = 0;

  /** `waitMs` is how long a peer may be ahead. */
  constructor(waitMs = BEHIND_MS) {
    this.#waitMs = waitMs;
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
  note(
    seen: {
      readonly mine: number;
      readonly theirs: number;
      readonly now: number;
    },
  ): boolean {
    const { mine, theirs, now } = seen;
    if (mine >= this.#target && theirs > mine) {
      this.#target = theirs;
      this.#since = now;
    }
    return theirs > mine && now - this.#since >= this.#waitMs;
  }
}
