/** How often and how much each adapter is used at each engine, by the requests
 * of this instance.
 *
 * @module
 */

interface UsageCount {
  started: number;
  running: number;
}

/** Use by adapter: started since the last take, running now. */
export type AdapterUsage = Readonly<Record<string, readonly [number, number]>>;

/** Counts of use, to be told to the engines' owners. */
export class AdapterUsageCounts {
  readonly #countsByEngine = new Map<string, Map<string, UsageCount>>();

  /** A request starts at an engine. */
  start(engineKey: string, adapter: string | undefined): void {
    if (adapter === undefined) return;
    let adapters = this.#countsByEngine.get(engineKey);
    if (adapters === undefined) {
      adapters = new Map();
      this.#countsByEngine.set(engineKey, adapters);
    }
    const count = adapters.get(adapter);
    if (count === undefined) adapters.set(adapter, { started: 1, running: 1 });
    else {
      count.started += 1;
      count.running += 1;
    }
  }

  /** It ended there. */
  end(engineKey: string, adapter: string | undefined): void {
    const count = adapter === undefined
      ? undefined
      : this.#countsByEngine.get(engineKey)?.get(adapter);
    if (count !== undefined) count.running -= 1;
  }

  /** Whether there is use to tell of. */
  hasUsage(engineKey: string): boolean {
    return this.#countsByEngine.has(engineKey);
  }

  /** What has been used since the last call, and what is running. */
  collect(engineKey: string): AdapterUsage | undefined {
    const adapters = this.#countsByEngine.get(engineKey);
    if (adapters === undefined) return undefined;
    const usage: Record<string, readonly [number, number]> = {};
    for (const [adapter, count] of adapters) {
      usage[adapter] = [count.started, count.running];
      count.started = 0;
      if (count.running === 0) adapters.delete(adapter);
    }
    if (adapters.size === 0) this.#countsByEngine.delete(engineKey);
    return usage;
  }
}
