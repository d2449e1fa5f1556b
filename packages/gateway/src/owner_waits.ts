/** Waits for the owners of engines, to which this instance has sent requests for
 * loads.
 *
 * @module
 */

/** Time between looks at the owners, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

interface OwnerWait {
  readonly engineKey: string;
  /** Ends the wait without a reply. */
  readonly end: () => void;
}

/** Ends the waits for owners that can order nothing any more. */
export class OwnerWaits {
  readonly #canOrder: (engineKey: string) => boolean;
  readonly #waits = new Set<OwnerWait>();
  #timer: NodeJS.Timeout | undefined;

  /** `canOrder` is whether the engine has an owner that can order loads now. */
  constructor(canOrder: (engineKey: string) => boolean) {
    this.#canOrder = canOrder;
  }

  /** Resolves to the reply of an engine's owner, or to false once there is no
   * owner that can order loads. */
  async reply(engineKey: string, reply: Promise<boolean>): Promise<boolean> {
    let end: () => void = () => undefined;
    const ended = new Promise<false>((resolve) => (end = () => resolve(false)));
    const wait = { engineKey, end };
    this.#waits.add(wait);
    this.#timer ??= setInterval(() => this.#check(), CHECK_INTERVAL_MS);
    try {
      return await Promise.race([reply, ended]);
    } finally {
      this.#waits.delete(wait);
      if (this.#waits.size === 0) {
        clearInterval(this.#timer);
        this.#timer = undefined;
      }
    }
  }

  #check(): void {
    for (const { engineKey, end } of this.#waits) {
      if (!this.#canOrder(engineKey)) end();
    }
  }
}
