/** The time that requests waited for adapter loads, from the engines' records.
 *
 * @module
 */
import type { EngineRecord } from "@banyanlb/standins";

/** Interval in which one version was loaded on one engine, in monotonic
 * milliseconds. */
interface LoadedInterval {
  readonly from_ms: number;
  until_ms: number;
}

/** The intervals in which versions were loaded on targets, and the counts of
 * loads and evictions. */
export class LoadHistory {
  readonly loads: number;
  readonly evictions: number;
  readonly #intervals = new Map<string, LoadedInterval[]>();

  /** `load_ends` has, by version, the sorted times at which loads from the
   * weight store ended, in monotonic milliseconds. */
  constructor(
    records: ReadonlyMap<string, EngineRecord>,
    load_ends: ReadonlyMap<string, readonly number[]>,
  ) {
    const orders = [...records.values()].flatMap((record) => record.orders);
    this.loads = orders.filter((order) => order.result === "loaded").length;
    this.evictions =
      orders.filter((order) =>
        order.order === "evict" && order.result.startsWith("evicted")
      ).length;
    for (const [target, record] of records) {
      this.#addTarget(target, record, load_ends);
    }
  }

  /** Milliseconds from `at_ms` until the version's load on the target ended, at
   * most until `started_ms`; 0 if it was already loaded at `at_ms`. */
  stallMs(
    use: { readonly target: string; readonly version: string },
    times: { readonly at_ms: number; readonly started_ms: number },
  ): number {
    const rows = this.#intervals.get(`${use.target} ${use.version}`) ?? [];
    const { at_ms, started_ms } = times;
    const interval = rows.findLast((residence) =>
      residence.from_ms <= started_ms
    );
    if (interval === undefined || interval.from_ms <= at_ms) return 0;
    return Math.min(interval.from_ms, started_ms) - at_ms;
  }

  #addTarget(
    target: string,
    record: EngineRecord,
    load_ends: ReadonlyMap<string, readonly number[]>,
  ): void {
    for (const order of record.orders) {
      const key = `${target} ${order.name}`;
      const rows = this.#intervals.get(key) ?? [];
      if (order.order === "load" && order.result === "loaded") {
        const end_ms = load_ends.get(order.name)
          ?.find((at_ms) => at_ms >= order.mono_ms) ?? order.mono_ms;
        rows.push({ from_ms: end_ms, until_ms: Infinity });
      }
      const last = rows.at(-1);
      if (order.order === "evict" && last !== undefined) {
        last.until_ms = order.mono_ms;
      }
      this.#intervals.set(key, rows);
    }
  }
}
