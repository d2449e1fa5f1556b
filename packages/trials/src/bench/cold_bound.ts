/** A lower bound of the time that requests lose to loads.
 *
 * The bound is what a choice would lose that knows every later arrival but
 * gives the order for a load no earlier than the first request for it, within
 * the store's limits:
 *
 * - all slots of all engines are one cache, so that no adapter is held twice
 *   and none is kept because a request still runs on it;
 * - a load replaces the adapter whose next request is furthest away, which
 *   gives the fewest loads of any replacement;
 * - a load starts when the store's rate allows it, in order of the requests,
 *   and takes the store's time at full speed; nothing else takes time.
 *
 * A request loses the time from its arrival until its adapter is there.
 * Serving later requests first or spending a load on a more popular adapter
 * could lower the sum a little further when the store's rate is exceeded; the
 * bound does not try that.
 *
 * @module
 */
import type { WeightsLimits } from "@banyanlb/standins";

/** One request for the bound. */
export interface VersionUse {
  readonly at_ms: number;
  readonly version: string;
}

/** What the bound comes to. */
export interface ColdStartBound {
  /** Time lost by each request, in the order given. */
  readonly stalls_ms: readonly number[];
  readonly loads: number;
}

const MS_PER_S = 1_000;

/** The store's rate: a bucket of `at_once` loads. */
class LoadRateLimiter {
  readonly #limits: WeightsLimits;
  #tokens: number;
  #updated_ms = 0;

  constructor(limits: WeightsLimits) {
    this.#limits = limits;
    this.#tokens = limits.at_once;
  }

  /** The time at which a load that is wanted at `at_ms` may start. */
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
  /** Index of its next use. */
  readonly next: number;
  readonly ready_ms: number;
}

/** The bound for uses in order of time.
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
