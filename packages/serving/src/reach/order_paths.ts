/** Which instances' orders reach engines. An engine belongs to an instance that
 * reaches it; so the engines of one that has no path get another owner.
 *
 * All instances lose their paths when engines are lost, and find them again one
 * after another. So an owner must have had none for a moment, and the next one a
 * path for a while.
 *
 * @module
 */

/** How long an owner must have had no path before its engines get another owner,
 * in milliseconds. */
export const OWNER_CUT_MS = 500;

/** How long an instance must have had a path before it gets engines of others, in
 * milliseconds. */
const STEADY_MS = 2000;

interface PathState {
  readonly hasPath: boolean;
  readonly since: number;
}

/** The paths of all members, as they report them. */
export class OrderPaths {
  readonly #states = new Map<string, PathState>();

  /** Records whether a member's orders reach engines. */
  record(name: string, hasPath: boolean, now: number): void {
    const known = this.#states.get(name);
    if (known?.hasPath === hasPath) return;
    const since = known === undefined && hasPath ? -Infinity : now;
    this.#states.set(name, { hasPath, since });
  }

  /** How long a member has had no path, in milliseconds; undefined if it has
   * one. */
  cutMs(name: string, now: number): number | undefined {
    const state = this.#states.get(name);
    return state === undefined || state.hasPath ? undefined : now - state.since;
  }

  /** Whether the engines of a member need another owner. */
  mustYield(name: string, now: number): boolean {
    return (this.cutMs(name, now) ?? -Infinity) >= OWNER_CUT_MS;
  }

  /** Whether a member may get engines of others. */
  mayTakeOver(name: string, now: number): boolean {
    const state = this.#states.get(name);
    if (state === undefined) return true;
    return state.hasPath && now - state.since >= STEADY_MS;
  }
}
