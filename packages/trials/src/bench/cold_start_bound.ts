/** A lower bound of the time that requests wait for adapters to load.
 *
 * The bound is the waiting time under a policy that knows every later arrival
 * but orders a load no earlier than the first request for the adapter, within
 * the weight store's limits:
 *
 * - the adapter slots of all engines form one cache, so that no adapter is
 *   loaded twice and running requests do not prevent an eviction;
 * - a load replaces the adapter whose next request is furthest in the future,
 *   the replacement with the fewest loads;
 * - a load starts when the store's rate allows it, in order of the requests,
 *   and takes the store's load time at full speed; nothing else takes time.
 *
 * A request waits from its arrival until its adapter is loaded. When the
 * store's rate is exceeded, serving later requests first or loading a more
 * popular adapter instead could lower the sum a little further; the bound does
 * not include that.
 *
 * @module
 */
import type { WeightsLimits } from "@banyanlb/standins";

/** One request for an adapter version. */
export interface VersionUse {
  readonly at_ms: number;
  readonly version: string;
}

/** The bound for one series of requests. */
export interface ColdStartBound {
  /** Milliseconds that each request waits, in the order of the requests. */
  readonly stalls_ms: readonly number[];
  readonly loads: number;
}

const MS_PER_S = 1_000;

/** Limits the rate of loads by a token bucket that holds `at_once` loads. */
class LoadRateLimiter {
  readonly #limits: WeightsLimits;
  #tokens: number;
  #updated_ms = 0;

  constructor(limits: WeightsLimits) {
    this.#limits = limits;
    this.#tokens = limits.at_once;
  }

  /** Reserves one load that is requested at `at_ms`. Returns the time at which
   * it may start. */
  next(at_ms: number): number {
    const { loads_per_s, at_once } = this.#limits;
    const now_ms = Math.max(at_ms, this.#updated_ms);
    const refilled_tokens = (now_ms - this.#updated_ms) * loads_per_s /
      MS_PER_S;
    this.#tokens = Math.min(at_once, this.#tokens + refilled_tokens);
    this.#updated_ms = now_ms;
    this.#tokens -= 1;
    if (this.#tokens >= 0) return now_ms;
    const start_ms = now_ms - this.#tokens * MS_PER_S / loads_per_s;
    this.#tokens = 0;
    this.#updated_ms = start_ms;
    return start_ms;
  }
}

function nextUseIndexes(uses: readonly VersionUse[]): readonly number[] {
  const next_uses = new Array<number>(uses.length).fill(Infinity);
  const next_by_version = new Map<string, number>();
  for (let i = uses.length - 1; i >= 0; i--) {
    const { version } = uses[i]!;
    next_uses[i] = next_by_version.get(version) ?? Infinity;
    next_by_version.set(version, i);
  }
  return next_uses;
}

function findFurthestUse(cache: ReadonlyMap<string, CachedVersion>): string {
  let furthest_version = "";
  let furthest_use = -1;
  for (const [version, row] of cache) {
    if (row.next <= furthest_use) continue;
    furthest_version = version;
    furthest_use = row.next;
  }
  return furthest_version;
}

interface CachedVersion {
  /** Index of the next request for the version; `Infinity` if there is none. */
  readonly next: number;
  readonly ready_ms: number;
}

/** Computes the bound for `uses`, which are sorted by `at_ms`.
 *
 * @example
 * ```ts
 * boundColdStarts(uses, { slots: 88, limits }).stalls_ms;
 * ```
 */
export function boundColdStarts(
  uses: readonly VersionUse[],
  options: { readonly slots: number; readonly limits: WeightsLimits },
): ColdStartBound {
  const next_uses = nextUseIndexes(uses);
  const limiter = new LoadRateLimiter(options.limits);
  const cache = new Map<string, CachedVersion>();
  let loads = 0;
  const stalls_ms = uses.map(({ at_ms, version }, i) => {
    let cached_version = cache.get(version);
    if (cached_version === undefined) {
      loads += 1;
      if (cache.size >= options.slots) cache.delete(findFurthestUse(cache));
      const ready_ms = limiter.next(at_ms) + options.limits.load_ms;
      cached_version = { next: next_uses[i]!, ready_ms };
    }
    cache.set(version, {
      next: next_uses[i]!,
      ready_ms: cached_version.ready_ms,
    });
    return Math.max(0, cached_version.ready_ms - at_ms);
  });
  return { stalls_ms, loads };
}
