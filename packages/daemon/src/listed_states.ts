/** What the platform's instance list says about leaving instances.
 *
 * Every instance reads the list, the less often the longer it is. Whoever
 * reads a change first tells the others, so that a change is known soon though
 * each instance reads seldom.
 *
 * @module
 */
import type { Clock, InstanceList, ListedInstance } from "@banyanlb/core";
import { LIST_READ_MS_PER_ROW } from "./constants.ts";
import { PeriodicTask } from "./periodic_task.ts";

/** What the reader of the list needs. */
export interface InstanceListWatchOptions {
  readonly clock: Clock;
  /** Shortest time between two reads. */
  readonly interval_ms: number;
  /** Called after the set of leaving names has changed. */
  readonly onChange: () => void;
  /** Tells the other instances what this one read first. */
  readonly notifyPeers: (leaving: readonly string[]) => void;
}

/** Keeps the names that are leaving. A list that cannot be read says nothing
 * new. */
export class InstanceListWatch {
  readonly #list: InstanceList;
  readonly #options: InstanceListWatchOptions;
  readonly #task: PeriodicTask;
  /** Names told by others, with the reading of the clock until which they
   * count without a confirmation by an own read. */
  readonly #reported_until = new Map<string, number>();
  #listed_leaving: ReadonlySet<string> = new Set();
  #interval_ms: number;

  constructor(list: InstanceList, options: InstanceListWatchOptions) {
    this.#list = list;
    this.#options = options;
    this.#interval_ms = options.interval_ms;
    this.#task = new PeriodicTask({
      clock: options.clock,
      // Spreads the instances' reads over the interval.
      pause: () => this.#interval_ms * (0.5 + Math.random()),
      run: () => this.#read(),
    });
  }

  /** Starts to read. */
  start(): void {
    this.#task.start();
  }

  /** True if an instance or a target is known to be leaving. */
  isLeaving(name: string): boolean {
    return this.#listed_leaving.has(name) || this.#reported_until.has(name);
  }

  /** Takes names that another instance read as leaving. */
  addReportedLeaving(names: readonly string[]): void {
    const new_names = names.filter((name) => !this.isLeaving(name));
    // The own list may be older than the other's, and is read seldom.
    const expires_at = this.#options.clock.now() + 2 * this.#interval_ms;
    for (const name of names) this.#reported_until.set(name, expires_at);
    if (new_names.length > 0) this.#options.onChange();
  }

  /** Stops reading. */
  async close(): Promise<void> {
    await this.#task.close();
  }

  async #read(): Promise<void> {
    const result = await this.#list.read();
    if (result.isOk()) this.#applyRows(result.value);
  }

  #applyRows(rows: readonly ListedInstance[]): void {
    const { clock, interval_ms, onChange, notifyPeers } = this.#options;
    const min_interval_ms = rows.length * LIST_READ_MS_PER_ROW;
    this.#interval_ms = Math.max(interval_ms, min_interval_ms);
    const leaving = rows.filter((row) => row.state === "leaving")
      .map((row) => row.name);
    const new_names = leaving.filter((name) => !this.isLeaving(name));
    const has_expired = this.#dropExpired(clock.now());
    const has_removed = [...this.#listed_leaving]
      .some((name) => !leaving.includes(name));
    this.#listed_leaving = new Set(leaving);
    if (new_names.length > 0) notifyPeers(new_names);
    if (new_names.length > 0 || has_removed || has_expired) onChange();
  }

  #dropExpired(now: number): boolean {
    let has_dropped = false;
    for (const [name, expires_at] of this.#reported_until) {
      if (expires_at >= now) continue;
      this.#reported_until.delete(name);
      has_dropped = true;
    }
    return has_dropped;
  }
}
