/** Shares of the workspaces in an engine's recent loads.
 *
 * @module
 */
import { LOAD_SHARE_HALF_LIFE_MS } from "./constants.ts";

interface DecayingCount {
  readonly count: number;
  readonly at: number;
}

const MIN_ACTIVE_COUNT = 0.1;

/** Exponentially decaying counts of loads by workspace. */
export class LoadShares {
  readonly #counts = new Map<string, DecayingCount>();

  /** Counts a load at `now`, in monotonic milliseconds. */
  count(workspace: string, now: number): void {
    this.#counts.set(workspace, {
      count: this.#countAt(workspace, now) + 1,
      at: now,
    });
  }

  /** True if the workspace's share of the recent loads is more than an equal
   * share among the active workspaces, of which at least 2 are assumed. */
  isOverShare(workspace: string, now: number): boolean {
    const names = [...this.#counts.keys()];
    const counts = names.map((name) => this.#countAt(name, now));
    const active = counts.filter((count) => count > MIN_ACTIVE_COUNT);
    const total = active.reduce((sum, count) => sum + count, 0);
    return this.#countAt(workspace, now) > total / Math.max(2, active.length);
  }

  #countAt(workspace: string, now: number): number {
    const record = this.#counts.get(workspace);
    if (record === undefined) return 0;
    return record.count *
      0.5 ** ((now - record.at) / LOAD_SHARE_HALF_LIFE_MS);
  }
}
