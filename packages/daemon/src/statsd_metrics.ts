/** Sends metrics to StatsD and keeps counter totals for the operator status.
 *
 * @module
 */
import { Metrics, type Tags } from "@banyanlb/core";
import { StatsD } from "hot-shots";

/** Address of the StatsD server. */
export interface StatsdAddress {
  readonly host: string;
  readonly port: number;
}

function formatName(name: string, tags: Tags | undefined): string {
  if (tags === undefined) return name;
  const list = Object.entries(tags).map(([key, value]) => `${key}:${value}`);
  return `${name}{${list.sort().join(",")}}`;
}

/** Sends metrics with the prefix `banyanlb.` and keeps the totals of counters.
 * Without an address it only keeps the totals. */
export class StatsdMetrics extends Metrics {
  readonly #client: StatsD | undefined;
  readonly #totals = new Map<string, number>();

  constructor(address: StatsdAddress | undefined) {
    super();
    if (address === undefined) return;
    this.#client = new StatsD({
      ...address,
      prefix: "banyanlb.",
      errorHandler: () => {},
    });
  }

  override count(name: string, tags?: Tags, by = 1): void {
    const key = formatName(name, tags);
    this.#totals.set(key, (this.#totals.get(key) ?? 0) + by);
    this.#client?.increment(name, by, { ...tags });
  }

  override time(name: string, ms: number, tags?: Tags): void {
    this.#client?.timing(name, ms, { ...tags });
  }

  override gauge(name: string, value: number, tags?: Tags): void {
    this.#client?.gauge(name, value, { ...tags });
  }

  /** Returns the totals of all counters since the process started, by name and
   * tags. */
  totals(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.#totals].sort());
  }

  /** Flushes pending metrics and closes the socket. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      if (this.#client === undefined) resolve();
      else this.#client.close(() => resolve());
    });
  }
}
