/** What was last sent to one peer, so that digests repeat only what has changed.
 *
 * @module
 */
import type { ReportRow } from "@banyanlb/serving";

/** Number of rows that are no longer reported of which the last state is
 * kept. */
const SURPLUS_STATES_MAX = 64;

/** The states of the rows that were sent to one peer, by kind and name. */
export class SentRows {
  readonly #statesByKind = new Map<string, Map<string, number>>();

  /** The values that have changed since they were last sent, by name; all values
   * if `isRefresh`. Undefined if there are none. Marks the returned values as
   * sent.
   *
   * @example
   * ```ts
   * sent.takeChanged("used", [["w1", 7, 7]], false); // { w1: 7 }
   * sent.takeChanged("used", [["w1", 7, 7]], false); // undefined
   * ```
   */
  takeChanged<T>(
    kind: string,
    rows: readonly ReportRow<T>[],
    isRefresh: boolean,
  ): Readonly<Record<string, T>> | undefined {
    const states = this.#statesOf(kind);
    const changed: Record<string, T> = {};
    let hasChanged = false;
    for (const [name, state, value] of rows) {
      if (states.get(name) === state && !isRefresh) continue;
      states.set(name, state);
      changed[name] = value;
      hasChanged = true;
    }
    if (states.size > rows.length + SURPLUS_STATES_MAX) {
      const names = new Set(rows.map(([name]) => name));
      for (const name of states.keys()) {
        if (!names.has(name)) states.delete(name);
      }
    }
    return hasChanged ? changed : undefined;
  }

  /** Forgets all rows, which may not have arrived. */
  clear(): void {
    this.#statesByKind.clear();
  }

  #statesOf(kind: string): Map<string, number> {
    let states = this.#statesByKind.get(kind);
    if (states === undefined) {
      states = new Map();
      this.#statesByKind.set(kind, states);
    }
    return states;
  }
}
