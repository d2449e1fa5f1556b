/** Reads for many askers at once.
 *
 * @module
 */

/** One read that serves all who asked before it began: what it returns is at
 * least as new as the question of each. */
export class SharedRead<T> {
  readonly #read: () => Promise<T>;
  #running: Promise<T> | undefined;
  #next: Promise<T> | undefined;

  constructor(read: () => Promise<T>) {
    this.#read = read;
  }

  /** Resolves to the result of a read that begins after this call.
   *
   * @example
   * ```ts
   * const record = await newestSplits.run();
   * ```
   */
  run(): Promise<T> {
    if (this.#running === undefined) return this.#start();
    this.#next ??= this.#running.then(() => undefined, () => undefined)
      .then(() => {
        this.#next = undefined;
        return this.#start();
      });
    return this.#next;
  }

  #start(): Promise<T> {
    const running = this.#read().finally(() => {
      if (this.#running === running) this.#running = undefined;
    });
    this.#running = running;
    return running;
  }
}
