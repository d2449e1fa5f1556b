/** Adapter slots of an engine stand-in.
 *
 * @module
 */

/** Fetches the weights at a path. Resolves to `false` if the fetch failed. */
export type FetchWeights = (path: string) => Promise<boolean>;

/** Outcome of loading an adapter version. */
export type LoadOutcome = "loaded" | "no_slot" | "failed";

/** Loads adapter versions into a limited number of slots and evicts them. */
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

  /** Loads a version unless it is already loaded. A load in progress occupies a
   * slot, and further calls for its version share its outcome. */
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

  /** Evicts a version. If it is still being loaded, that load fails. */
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
