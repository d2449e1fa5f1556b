/** Watches the platform's instance list for instances and targets that are
 * leaving.
 *
 * Every instance polls the list. The polling interval grows with the length of
 * the list. The instance that first reads a new leaving name notifies its
 * peers, so that the fleet detects it quickly although each instance polls
 * rarely.
 *
 * @module
 */
import type { Clock, InstanceList, ListedInstance } from "@banyanlb/core";
import { LIST_READ_MS_PER_ROW } from "./constants.ts";
import { PeriodicTask } from "./periodic_task.ts";

/** Options of the instance list watch. */
export interface InstanceListWatchOptions {
  readonly clock: Clock;
  /** Lower bound of the mean time between two reads, in milliseconds. A long
   * list is read less often. */
  readonly interval_ms: number;
  /** Called when the set of leaving names may have changed. */
  readonly onChange: () => void;
  /** Notifies all peers of leaving names that this instance read from the list
   * and that no peer had reported to it. */
  readonly notifyPeers: (leaving: readonly string[]) => void;
}

/** Tracks the names of instances and targets that are leaving. A failed read of
 * the list leaves them unchanged. */
export class InstanceListWatch {
  readonly #list: InstanceList;
  readonly #options: InstanceListWatchOptions;
  readonly #task: PeriodicTask;
  /** Leaving names that peers reported, with the clock time until which each
   * counts as leaving even if this instance's own reads don't show it. */
  readonly #reported_until = new Map<string, number>();
  #listed_leaving: ReadonlySet<string> = new Set();
  #interval_ms: number;

  constructor(list: InstanceList, options: InstanceListWatchOptions) {
    this.#list = list;
    this.#options = options;
    this.#interval_ms = options.interval_ms;
    this.#task = new PeriodicTask({
      clock: options.clock,
      // Random jitter keeps the instances from reading at the same time.
      pause: () => this.#interval_ms * (0.5 + Math.random()),
      run: () => this.#read(),
    });
  }

  /** Starts to poll the list. */
  start(): void {
    this.#task.start();
  }

  /** True if this instance's last read of the list, or a peer's report that
   * has not expired, shows the instance or target as leaving. */
  isLeaving(name: string): boolean {
    return this.#listed_leaving.has(name) || this.#reported_until.has(name);
  }

  /** Adds names that a peer read from the list as leaving. */
  addReportedLeaving(names: readonly string[]): void {
    const new_names = names.filter((name) => !this.isLeaving(name));
    // The last read here may be older than the peer's read. Two intervals leave
    // time for at least one read of this instance.
    const expires_at = this.#options.clock.now() + 2 * this.#interval_ms;
    for (const name of names) this.#reported_until.set(name, expires_at);
    if (new_names.length > 0) this.#options.onChange();
  }

  /** Stops polling. */
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
    const has_removals = [...this.#listed_leaving]
      .some((name) => !leaving.includes(name));
    this.#listed_leaving = new Set(leaving);
    if (new_names.length > 0) notifyPeers(new_names);
    if (new_names.length > 0 || has_removals || has_expired) onChange();
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
