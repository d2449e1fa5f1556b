/** A timeout after which nothing has arrived.
 *
 * After the process stood still, timers fire before the connections are read:
 * what waits in them would count as silence.
 *
 * @module
 */

/** Calls back once the time is over and what has arrived by then was read. */
export class ReadTimeout {
  readonly #timer: NodeJS.Timeout;
  #immediate: NodeJS.Immediate | undefined;

  /** `ms` is the time in milliseconds.
   *
   * @example
   * ```ts
   * const timeout = new ReadTimeout(() => socket.destroy(), 700);
   * socket.once("connect", () => timeout.clear());
   * ```
   */
  constructor(callback: () => void, ms: number) {
    this.#timer = setTimeout(() => {
      // Connections are read between timers and immediates.
      this.#immediate = setImmediate(callback);
    }, ms);
  }

  /** Prevents the call. */
  clear(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#immediate);
  }
}
