/** Registration of callbacks.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import { LISTENER_FAILED } from "./events.ts";

/** A set of callbacks. An exception in one callback is logged and does not
 * prevent the calls of the other callbacks. */
export class Listeners<T> {
  readonly #callbacks = new Set<(value: T) => void>();
  readonly #log: EventLog;

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Registers a callback. Returns a function that removes it. */
  add(callback: (value: T) => void): () => void {
    const registration = (value: T) => callback(value);
    this.#callbacks.add(registration);
    return () => {
      this.#callbacks.delete(registration);
    };
  }

  /** Calls every registered callback. */
  notify(value: T): void {
    for (const callback of [...this.#callbacks]) {
      try {
        callback(value);
      } catch (error) {
        this.#log.write(LISTENER_FAILED, { error: String(error) });
      }
    }
  }
}
