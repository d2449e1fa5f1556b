/** Queue of settlements to be sent to other holders.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import type { Clock, EventLog, Metrics } from "@banyanlb/core";
import {
  MAX_QUEUED_SETTLEMENTS,
  MAX_SETTLE_ATTEMPTS,
  SETTLE_INTERVAL_MS,
} from "./constants.ts";
import { RATE_SETTLEMENTS_DROPPED } from "./events.ts";
import type { Settlement } from "./generated/rate_messages.ts";
import type { RatePeers } from "./rate_peers.ts";

interface QueuedSettlement extends Settlement {
  readonly attempts: number;
}

/** Dependencies of {@linkcode SettleQueue}. */
export interface SettleQueueDeps {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: EventLog;
  readonly peers: RatePeers;
}

/** Sends settlements to each holder in batches. If a settlement is dropped, the
 * unused tokens of one reservation are lost. */
export class SettleQueue {
  readonly #deps: SettleQueueDeps;
  readonly #close_abort = new AbortController();
  readonly #queues = new Map<string, QueuedSettlement[]>();

  constructor(deps: SettleQueueDeps) {
    this.#deps = deps;
    // The signal has one listener for each holder with queued settlements;
    // 0 turns off Node's warning about many listeners.
    setMaxListeners(0, this.#close_abort.signal);
  }

  /** Queues a settlement, which is sent within `SETTLE_INTERVAL_MS`. */
  add(holder: string, settlement: Settlement): void {
    this.#append(holder, [{ ...settlement, attempts: 0 }]);
  }

  /** Removes and returns the settlements queued for a holder, so that they can
   * be sent with another message. */
  take(holder: string): readonly QueuedSettlement[] {
    const batch = this.#queues.get(holder) ?? [];
    if (batch.length > 0) this.#queues.set(holder, []);
    return batch;
  }

  /** Queues a batch again after a call that failed. Settlements that have used
   * up their attempts are dropped. */
  requeue(holder: string, batch: readonly QueuedSettlement[]): void {
    const retries = batch.map((row) => ({
      ...row,
      attempts: row.attempts + 1,
    }));
    const kept = retries.filter((row) => row.attempts < MAX_SETTLE_ATTEMPTS);
    this.#countDropped(holder, retries.length - kept.length);
    this.#append(holder, kept);
  }

  /** Sends all queued settlements, with one attempt for each holder. */
  async flush(): Promise<void> {
    const holders = [...this.#queues.keys()];
    await Promise.all(holders.map((holder) => this.#send(holder)));
  }

  /** Sends all queued settlements, with one attempt for each holder, and
   * stops. */
  async close(): Promise<void> {
    this.#close_abort.abort();
    await this.flush();
    this.#queues.clear();
  }

  #append(holder: string, rows: readonly QueuedSettlement[]): void {
    if (rows.length === 0) return;
    const queue = this.#queues.get(holder);
    if (queue === undefined) {
      this.#queues.set(holder, [...rows]);
      void this.#runSendLoop(holder);
      return;
    }
    const free_space = Math.max(0, MAX_QUEUED_SETTLEMENTS - queue.length);
    queue.push(...rows.slice(0, free_space));
    this.#countDropped(holder, rows.length - Math.min(rows.length, free_space));
  }

  /** Sends the settlements for one holder until none are left. */
  async #runSendLoop(holder: string): Promise<void> {
    const { clock } = this.#deps;
    while (!this.#close_abort.signal.aborted) {
      try {
        await clock.sleep(SETTLE_INTERVAL_MS, this.#close_abort.signal);
      } catch {
        return;
      }
      if ((this.#queues.get(holder) ?? []).length === 0) break;
      await this.#send(holder);
    }
    if (!this.#close_abort.signal.aborted) this.#queues.delete(holder);
  }

  async #send(holder: string): Promise<void> {
    const batch = this.take(holder);
    if (batch.length === 0) return;
    const result = await this.#deps.peers.settle(holder, {
      x: toSettlements(batch),
    });
    if (result.isErr()) this.requeue(holder, batch);
  }

  #countDropped(holder: string, dropped: number): void {
    if (dropped === 0) return;
    this.#deps.metrics.count("rate.settlements_dropped", {}, dropped);
    this.#deps.log.write(RATE_SETTLEMENTS_DROPPED, { holder, dropped });
  }
}

/** Converts queued settlements to messages. */
export function toSettlements(
  batch: readonly Settlement[],
): readonly Settlement[] {
  return batch.map(({ i, u }) => ({ i, u }));
}
