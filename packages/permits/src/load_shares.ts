/** Whose adapters an engine loaded lately.
 *
 * @module
 */
import { LOAD_SHARE_HALF_LIFE_MS } from "./constants.ts";

interface DecayingCount {
  readonly count: number;
  readonly at: number;
}

const MIN_ACTIVE_COUNT = 0.1;

/** Decaying counts of loads by workspace. */
export class LoadShares {
  readonly #counts = new Map<string, DecayingCount>();

  /** Counts a load at `now`, in monotonic milliseconds. */
  count(workspace: string, now: number): void {
    this.#counts.set(workspace, {
      count: this.#countAt(workspace, now) + 1,
      at: now,
    });
  }

  /** True if the workspace had more than an equal part of the loads. */
  isOverShare(workspace: string, now: number): boolean {
    const names = [...this.#counts.keys()];
    const counts = names.map((name) => this.#countAt(name, now));
    const active = counts.filter((count) => count > MIN_ACTIVE_COUNT);
    const total = active.reduce((sum, count) => sum + count, 0);
    return this.#countAt(workspace, now) > total / Math.max(2, active.length);
  }

  #countAt(workspace: string, now: number): number {
    const counted = this.#counts.get(workspace);
    if (counted === undefined) return 0;
    return counted.count *
      0.5 ** ((now - counted.at) / LOAD_SHARE_HALF_LIFE_MS);
  }
}
