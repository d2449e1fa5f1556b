/** Outbox for releases to the owners of targets.
 *
 * @module
 */
import type { Clock, Metrics } from "@banyanlb/core";
import {
  MAX_IDLE_WAIT_MS,
  MAX_RELEASE_BATCH_SIZE,
  RELEASE_BATCH_DELAY_MS,
  RELEASE_RETRY_MS,
} from "./constants.ts";
import type { PermitRelease, ReleaseSender } from "./types.ts";
import { Wakeup } from "./wakeup.ts";

/** Dependencies of an outbox. */
export interface OutboxDeps {
  readonly clock: Clock;
  readonly sender: ReleaseSender;
  readonly metrics: Metrics;
}

interface PendingRelease {
  readonly release: PermitRelease;
  /** Deadline of the request. The release is no longer sent after it, because
   * the owner expires the permit by itself. */
  readonly expires_at: number;
  /** Earliest time of the next attempt to send the release. */
  readonly due_at: number;
}

/** Sends releases in batches until an owner acknowledges them or the deadlines
 * of their requests have passed. */
export class ReleaseOutbox {
  readonly #deps: OutboxDeps;
  readonly #pending = new Map<string, PendingRelease>();
  readonly #wakeup: Wakeup;
  readonly #task: Promise<void>;
  #is_closed = false;

  constructor(deps: OutboxDeps) {
    this.#deps = deps;
    this.#wakeup = new Wakeup(deps.clock);
    this.#task = this.#run();
  }

  /** Queues a release. It is dropped at `expires_at`, in monotonic
   * milliseconds. */
  add(release: PermitRelease, expires_at: number): void {
    const due_at = this.#deps.clock.now() + RELEASE_BATCH_DELAY_MS;
    const was_empty = this.#pending.size === 0;
    this.#pending.set(release.id, { release, expires_at, due_at });
    if (was_empty) this.#wakeup.wake();
  }

  /** Releases to piggyback on a permit request to the target's owner. They are
   * sent again unless {@linkcode acknowledge} is called. */
  takeFor(target: string): readonly PermitRelease[] {
    const now = this.#deps.clock.now();
    const releases = [...this.#pending.values()]
      .map((pending) => pending.release)
      .filter((release) => release.target === target)
      .slice(0, MAX_RELEASE_BATCH_SIZE);
    this.#reschedule(releases, now + RELEASE_RETRY_MS);
    return releases;
  }

  /** Removes the releases that the owner has processed: all of `releases`
   * except those in `untaken`. */
  acknowledge(
    releases: readonly PermitRelease[],
    untaken: readonly string[],
  ): void {
    for (const release of releases) {
      if (!untaken.includes(release.id)) this.#pending.delete(release.id);
    }
  }

  /** Sends releases again now, because the permit request with which they were
   * sent failed. */
  retryNow(releases: readonly PermitRelease[]): void {
    this.#reschedule(releases, this.#deps.clock.now());
    this.#wakeup.wake();
  }

  /** Sends the pending releases once more and stops. */
  async close(): Promise<void> {
    this.#is_closed = true;
    this.#wakeup.wake();
    await this.#task;
    await this.#sendAll([...this.#pending.values()]);
  }

  async #run(): Promise<void> {
    while (!this.#is_closed) {
      const now = this.#deps.clock.now();
      this.#forgetExpired(now);
      const due = [...this.#pending.values()]
        .filter((pending) => pending.due_at <= now);
      if (due.length > 0) await this.#sendAll(due);
      else await this.#wakeup.wait(this.#nextDelayMs(now));
    }
  }

  #nextDelayMs(now: number): number {
    let earliest = now + MAX_IDLE_WAIT_MS;
    for (const pending of this.#pending.values()) {
      earliest = Math.min(earliest, pending.due_at);
    }
    return earliest - now;
  }

  #forgetExpired(now: number): void {
    for (const [id, pending] of this.#pending) {
      if (pending.expires_at <= now) this.#pending.delete(id);
    }
  }

  #reschedule(releases: readonly PermitRelease[], due_at: number): void {
    for (const { id } of releases) {
      const pending = this.#pending.get(id);
      if (pending !== undefined) this.#pending.set(id, { ...pending, due_at });
    }
  }

  async #sendAll(due: readonly PendingRelease[]): Promise<void> {
    const targets = new Set(due.map((pending) => pending.release.target));
    await Promise.all([...targets].map((target) => {
      const releases = due
        .map((pending) => pending.release)
        .filter((release) => release.target === target);
      return this.#send(target, releases.slice(0, MAX_RELEASE_BATCH_SIZE));
    }));
  }

  async #send(
    target: string,
    releases: readonly PermitRelease[],
  ): Promise<void> {
    const retry_at = this.#deps.clock.now() + RELEASE_RETRY_MS;
    this.#reschedule(releases, retry_at);
    const result = await this.#deps.sender.send(target, releases);
    if (result.isOk()) this.acknowledge(releases, result.value);
    else this.#deps.metrics.count("permits.release_retry");
  }
}
