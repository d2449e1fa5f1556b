/** The use of shares that an earlier process of this instance has kept in the
 * store.
 *
 * @module
 */
import { SLICE_MS, type TokenRate } from "@banyanlb/serving";

/** The use of shares by workspace, see `TokenRate.useAt`. */
export type UseByWorkspace = Readonly<Record<string, readonly number[]>>;

/** Use that waits until its workspaces are known. */
export class FormerUse {
  readonly #slices: Map<string, readonly number[]>;
  readonly #at: number;

  /** The use was kept at `at`, by the monotonic clock of this process. */
  constructor(use: UseByWorkspace, at: number) {
    this.#slices = new Map(Object.entries(use));
    this.#at = at;
  }

  /** Restores the use of a workspace, once. */
  restore(workspace: string, rate: TokenRate, now: number): void {
    const slices = this.#slices.get(workspace);
    if (slices === undefined) return;
    this.#slices.delete(workspace);
    rate.restoreUse(slices, { at: this.#at, now });
  }

  /** What was not restored yet, as of `now`. */
  remaining(now: number): UseByWorkspace {
    const passedSlices = Math.floor((now - this.#at) / SLICE_MS);
    const passed = new Array<number>(passedSlices).fill(0);
    return Object.fromEntries(
      [...this.#slices].map(([name, slices]) => [name, [...passed, ...slices]]),
    );
  }
}
