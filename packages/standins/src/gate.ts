/** A gate that holds callers back while it is closed.
 *
 * @module
 */

/** A gate, initially open, that asynchronous code can wait for.
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

  /** Opens or closes the gate. Opening it resumes all waiting callers. */
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
