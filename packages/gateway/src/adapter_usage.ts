/** Counts the requests of this instance for each adapter at each engine.
 *
 * @module
 */
import type { AdapterUse } from "@banyanlb/serving";

interface UsageCount {
  started: number;
  running: number;
}

/** Request counts that are reported to the instances that own the engines. */
export class AdapterUsageCounts {
  readonly #countsByEngine = new Map<string, Map<string, UsageCount>>();

  /** Counts a request that starts at an engine. */
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

  /** Counts the end of a request that `start` has counted. */
  end(engineKey: string, adapter: string | undefined): void {
    const count = adapter === undefined
      ? undefined
      : this.#countsByEngine.get(engineKey)?.get(adapter);
    if (count !== undefined) count.running -= 1;
  }

  /** Whether there are counts to report for an engine. */
  hasUsage(engineKey: string): boolean {
    return this.#countsByEngine.has(engineKey);
  }

  /** Returns the counts to report for an engine, and resets those of started
   * requests. Undefined if there are none. */
  collect(engineKey: string): AdapterUse | undefined {
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
