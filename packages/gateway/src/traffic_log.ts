/** Counts what control traffic costs: bytes received from the store and from
 * peers.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import type { StoreTransfer } from "@banyanlb/platform";
import * as events from "./events.ts";
import type { GatewayMetrics } from "./metrics.ts";
import type { PeerMessage } from "./peer_messages.ts";

/** A transfer is logged if its body has at least this many bytes, or was under
 * way for at least this long, in milliseconds. */
const LOGGED_BYTES = 64 * 1024;
const LOGGED_BODY_MS = 200;

/** Records transfers in metrics, and long ones in the log. */
export class TrafficLog {
  readonly #log: EventLog;
  readonly #metrics: GatewayMetrics;

  constructor(
    { log, metrics }: {
      readonly log: EventLog;
      readonly metrics: GatewayMetrics;
    },
  ) {
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Records a call of the store that has ended. */
  recordStoreTransfer(transfer: StoreTransfer): void {
    const { kind, call, bytes, ms, bodyMs, isComplete } = transfer;
    const metrics = this.#metrics;
    metrics.add("store_bytes_total", `kind="${kind}",call="${call}"`, bytes);
    metrics.add(
      "store_calls_total",
      `kind="${kind}",call="${call}",complete="${isComplete}"`,
    );
    if (bytes < LOGGED_BYTES && (bodyMs ?? 0) < LOGGED_BODY_MS) return;
    this.#log.write(events.STORE_TRANSFER_LONG, {
      kind,
      call,
      bytes,
      ms: Math.round(ms),
      bodyMs: bodyMs === undefined ? undefined : Math.round(bodyMs),
      complete: isComplete,
    });
  }

  /** Records a message of a peer. */
  recordPeerMessage(type: PeerMessage["t"], bytes: number): void {
    this.#metrics.add("peer_bytes_total", `type="${type}"`, bytes);
  }
}
