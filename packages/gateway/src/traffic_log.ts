/** Counts what control traffic costs: bytes received from the store and from
 * peers.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import type { StoreTransfer } from "@banyanlb/platform";
import type { Member, MemberTable } from "@banyanlb/serving";
import * as events from "./events.ts";
import type { GatewayMetrics } from "./metrics.ts";
import type { PeerMessage } from "./peer_messages.ts";

/** A transfer is logged if its body has at least this many bytes, or was under
 * way for at least this long, in milliseconds. */
const LOGGED_BYTES = 64 * 1024;
const LOGGED_BODY_MS = 200;

/** Time between sums of what arrived, in milliseconds, and the least sum that is
 * logged, in bytes. */
const SUM_INTERVAL_MS = 1000;
const LOGGED_SUM_BYTES = 8 * 1024;

/** Dependencies of the log of traffic. */
export interface TrafficLogOptions {
  readonly self: Member;
  readonly members: Pick<MemberTable, "get" | "list">;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** Records transfers in metrics; long ones, and each second's sums, in the
 * log. */
export class TrafficLog {
  readonly #options: TrafficLogOptions;
  readonly #log: EventLog;
  readonly #metrics: GatewayMetrics;
  /** Bytes since the last sum: from the store by kind and call, from peers by
   * sender and type. */
  readonly #storeBytes = new Map<string, number>();
  readonly #peerBytes = new Map<string, Map<string, number>>();
  #nextSumAt = 0;

  constructor(options: TrafficLogOptions) {
    this.#options = options;
    this.#log = options.log;
    this.#metrics = options.metrics;
  }

  /** Writes event 873 if it is due. */
  tick(now: number): void {
    if (now < this.#nextSumAt) return;
    this.#nextSumAt = now + SUM_INTERVAL_MS;
    const { self } = this.#options;
    const peers = new Map<string, number>();
    for (const [sender, bytesByType] of this.#peerBytes) {
      const region = this.#regionOf(sender);
      if (region === self.region) continue;
      for (const [type, bytes] of bytesByType) {
        addTo(peers, `${type} ${region ?? "unknown"}`, bytes);
      }
    }
    const sumBytes = [...peers.values(), ...this.#storeBytes.values()]
      .reduce((sum, bytes) => sum + bytes, 0);
    if (sumBytes >= LOGGED_SUM_BYTES) {
      this.#log.write(events.TRAFFIC_SUM, {
        peers: Object.fromEntries(peers),
        store: Object.fromEntries(this.#storeBytes),
      });
    }
    this.#peerBytes.clear();
    this.#storeBytes.clear();
  }

  /** Records a call of the store that has ended. */
  recordStoreTransfer(transfer: StoreTransfer): void {
    const { kind, call, bytes, ms, bodyMs, isComplete } = transfer;
    const metrics = this.#metrics;
    addTo(this.#storeBytes, `${kind} ${call}`, bytes);
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

  /** Records a message of a peer: of `sender`, its name or its address. */
  recordPeerMessage(
    type: PeerMessage["t"],
    bytes: number,
    sender: string,
  ): void {
    this.#metrics.add("peer_bytes_total", `type="${type}"`, bytes);
    let bytesByType = this.#peerBytes.get(sender);
    if (bytesByType === undefined) {
      bytesByType = new Map();
      this.#peerBytes.set(sender, bytesByType);
    }
    addTo(bytesByType, type, bytes);
  }

  #regionOf(sender: string): string | undefined {
    const { members } = this.#options;
    const member = members.get(sender) ??
      members.list().find(({ peerAddress }) => peerAddress === sender);
    return member?.region;
  }
}

function addTo(sums: Map<string, number>, key: string, bytes: number): void {
  sums.set(key, (sums.get(key) ?? 0) + bytes);
}
