/** Callbacks that are registered and undone.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import { LISTENER_FAILED } from "./events.ts";

/** A set of callbacks; one that throws does not stop the others. */
export class Listeners<T> {
  readonly #callbacks = new Set<(value: T) => void>();
  readonly #log: EventLog;

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Registers a callback; returns its undo. */
  add(callback: (value: T) => void): () => void {
    const registration = (value: T) => callback(value);
    this.#callbacks.add(registration);
    return () => {
      this.#callbacks.delete(registration);
    };
  }

  /** Calls every callback. */
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
