/** Adapters that an engine holds.
 *
 * @module
 */

/** Fetches weights. Yields `false` if that failed. */
export type FetchWeights = (path: string) => Promise<boolean>;

/** Outcome of a load. */
export type LoadOutcome = "loaded" | "no_slot" | "failed";

/** Loads and evicts adapters in a limited number of slots. */
export class AdapterSlots {
  readonly #slot_count: number;
  readonly #fetch_weights: FetchWeights;
  readonly #loaded = new Set<string>();
  readonly #loading = new Map<string, Promise<LoadOutcome>>();

  constructor(slot_count: number, fetch_weights: FetchWeights) {
    this.#slot_count = slot_count;
    this.#fetch_weights = fetch_weights;
  }

  /** Names of the loaded versions. */
  get loaded(): readonly string[] {
    return [...this.#loaded];
  }

  has(name: string): boolean {
    return this.#loaded.has(name);
  }

  /** Loads a version unless it is loaded. Loads under way hold a slot. */
  load(name: string, weights_path: string): Promise<LoadOutcome> {
    if (this.#loaded.has(name)) return Promise.resolve("loaded");
    const pending_load = this.#loading.get(name);
    if (pending_load !== undefined) return pending_load;
    if (this.#loaded.size + this.#loading.size >= this.#slot_count) {
      return Promise.resolve("no_slot");
    }
    const load = this.#fetchAndAdd(name, weights_path);
    this.#loading.set(name, load);
    return load;
  }

  /** Evicts a version. A load under way of it fails. */
  evict(name: string): void {
    this.#loaded.delete(name);
    this.#loading.delete(name);
  }

  async #fetchAndAdd(name: string, weights_path: string): Promise<LoadOutcome> {
    // Lets load() register the promise before it can settle.
    await Promise.resolve();
    const own_load = this.#loading.get(name);
    const fetched = await this.#fetch_weights(weights_path).catch(() => false);
    if (this.#loading.get(name) !== own_load) return "failed";
    this.#loading.delete(name);
    if (!fetched) return "failed";
    this.#loaded.add(name);
    return "loaded";
  }
}
