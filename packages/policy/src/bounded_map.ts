/** A map of bounded size that evicts its oldest keys.
 *
 * @module
 */

/** Keeps at most `limit` keys, those that were set most recently. */
export class BoundedMap<K, V> {
  readonly #limit: number;
  readonly #entries = new Map<K, V>();

  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Returns the value of a key. Does not affect the order of eviction. */
  get(key: K): V | undefined {
    return this.#entries.get(key);
  }

  /** Sets a key, which becomes the newest, and evicts the oldest key if the map
   * is full. */
  set(key: K, value: V): void {
    this.#entries.delete(key);
    this.#entries.set(key, value);
    if (this.#entries.size <= this.#limit) return;
    const [oldest] = this.#entries.keys();
    this.#entries.delete(oldest!);
  }

  /** Removes a key. */
  delete(key: K): void {
    this.#entries.delete(key);
  }

  /** Removes all keys. */
  clear(): void {
    this.#entries.clear();
  }
}
