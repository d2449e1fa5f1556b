/** State that an instance keeps for each engine it owns.
 *
 * @module
 */
import { AdapterSlotTable, type OrderOutcome } from "@banyanlb/serving";
import type { OwnedModels } from "./model_placement/owned_models.ts";

/** Timeout of an order: this multiple of the average time to its reply, within
 * bounds in milliseconds. It is short, since engines reply at once, an order
 * may be sent again, and requests wait for its adapter. */
const ORDER_TIMEOUT_FACTOR = 8;
const ORDER_TIMEOUT_MIN_MS = 40;
export const ORDER_TIMEOUT_MAX_MS = 400;

/** Weight of one order's time in the moving average. */
const ORDER_TIME_WEIGHT = 0.2;

/** A request that waits for an adapter to be loaded. */
export interface Waiter {
  readonly adapter: string;
  readonly version: number;
  readonly until: number;
  /** Whether the request waits although the engine does not reply. */
  readonly isPatient: boolean;
  readonly resolve: (ok: boolean) => void;
}

/** One engine that this instance owns. */
export class OwnedEngine {
  readonly adapterSlots: AdapterSlotTable;
  readonly models: OwnedModels;
  readonly waiters = new Set<Waiter>();
  /** Adapters that the engine denied to hold, until it reports what it holds. */
  readonly denied = new Set<string>();
  /** Requests in flight by instance, then by adapter. */
  readonly flight = new Map<string, ReadonlyMap<string, number>>();
  reportRequestedAt = 0;
  isReporting = false;
  isOrdering = false;
  nextOrderAt = 0;
  /** Moving average of the time from an order to its reply, in milliseconds. */
  averageOrderMs = ORDER_TIMEOUT_MAX_MS / ORDER_TIMEOUT_FACTOR;
  /** Consecutive calls without a reply. */
  unansweredCalls = 0;

  /** Timeout of the next order, in milliseconds. */
  get orderTimeoutMs(): number {
    return Math.min(
      ORDER_TIMEOUT_MAX_MS,
      Math.max(
        ORDER_TIMEOUT_MIN_MS,
        this.averageOrderMs * ORDER_TIMEOUT_FACTOR,
      ),
    );
  }

  /** Updates the average with the time an order took; increases it if the order
   * got no reply in time. */
  recordOrderTime(ms: number, hasReplied: boolean): void {
    // Without a reply, the path to the engine may have become slower.
    this.averageOrderMs = hasReplied
      ? this.averageOrderMs + (ms - this.averageOrderMs) * ORDER_TIME_WEIGHT
      : Math.min(this.averageOrderMs * 1.5, ORDER_TIMEOUT_MAX_MS);
  }

  constructor(slotCount: number, models: OwnedModels) {
    this.adapterSlots = new AdapterSlotTable(slotCount);
    this.models = models;
  }
}

/** The outcome of an order for the adapter slots, given the engine's reply. */
export function outcomeOf(
  action: "load" | "unload",
  reply: string,
): OrderOutcome {
  switch (reply) {
    case "accepted":
      return action === "load" ? "done" : "waiting";
    case "complete":
      return action === "load" ? "held" : "done";
    case "unknown":
      return "unknown";
    default:
      return "refused";
  }
}
