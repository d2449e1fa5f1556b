/** Request rates by key, with exponential decay.
 *
 * @module
 */
import { BoundedMap } from "./bounded_map.ts";

interface DecayingCount {
  readonly count: number;
  readonly at: number;
}

const MS_PER_SECOND = 1_000;

/** Exponentially weighted request rates. */
export class RequestRates {
  readonly #half_life_ms: number;
  readonly #counts: BoundedMap<string, DecayingCount>;

  constructor(half_life_ms: number, max_keys: number) {
    this.#half_life_ms = half_life_ms;
    this.#counts = new BoundedMap(max_keys);
  }

  /** Counts one request at `now`, in monotonic milliseconds. */
  count(key: string, now: number): void {
    this.#counts.set(key, { count: this.#decayedCount(key, now) + 1, at: now });
  }

  /** Requests per second, averaged over about one half-life. */
  perSecond(key: string, now: number): number {
    const mean_life_ms = this.#half_life_ms / Math.LN2;
    return this.#decayedCount(key, now) * MS_PER_SECOND / mean_life_ms;
  }

  #decayedCount(key: string, now: number): number {
    const last = this.#counts.get(key);
    if (last === undefined) return 0;
    return last.count * 0.5 ** ((now - last.at) / this.#half_life_ms);
  }
}
