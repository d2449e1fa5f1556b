/** Holds calls back while it is closed.
 *
 * @module
 */

/** A gate that is open at first.
 *
 * @example
 * ```ts
 * const gate = new Gate();
 * gate.setOpen(false);
 * setTimeout(() => gate.setOpen(true), 100);
 * await gate.wait(); // resolves after 100 ms
 * ```
 */
export class Gate {
  #waiters: (() => void)[] | undefined;

  get open(): boolean {
    return this.#waiters === undefined;
  }

  /** Opens or closes the gate; opening lets every waiting call through. */
  setOpen(open: boolean): void {
    const waiters = this.#waiters;
    if (!open) {
      this.#waiters = waiters ?? [];
      return;
    }
    this.#waiters = undefined;
    for (const resume of waiters ?? []) resume();
  }

  /** Resolves when the gate is open. */
  async wait(): Promise<void> {
    while (this.#waiters !== undefined) {
      await new Promise<void>((resume) => this.#waiters?.push(resume));
    }
  }
}
