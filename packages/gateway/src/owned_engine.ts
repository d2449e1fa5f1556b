/** What the ordering instance keeps of one engine.
 *
 * @module
 */
import { AdapterSlotTable, type OrderOutcome } from "@banyanlb/serving";

/** Time allowed for an order's answer: this many times the usual, within
 * bounds in milliseconds. Engines answer at once, an order may be sent again,
 * and requests wait for its adapter. */
const ORDER_TIMEOUT_FACTOR = 8;
const ORDER_TIMEOUT_MIN_MS = 40;
export const ORDER_TIMEOUT_MAX_MS = 400;

/** Weight of one order's time in the usual time. */
const ORDER_TIME_WEIGHT = 0.2;

/** A request that waits for an adapter. */
export interface Waiter {
  readonly adapter: string;
  readonly version: number;
  readonly until: number;
  readonly resolve: (ok: boolean) => void;
}

/** One engine at which this instance orders. */
export class OwnedEngine {
  readonly adapterSlots: AdapterSlotTable;
  readonly model: string;
  readonly waiters = new Set<Waiter>();
  /** Requests in flight by adapter, of each instance. */
  readonly flight = new Map<string, ReadonlyMap<string, number>>();
  reportRequestedAt = 0;
  isReporting = false;
  isOrdering = false;
  nextOrderAt = 0;
  /** Usual time from an order to its answer, in milliseconds. */
  averageOrderMs = ORDER_TIMEOUT_MAX_MS / ORDER_TIMEOUT_FACTOR;
  /** Calls in a row without answer. */
  unansweredCalls = 0;
  isModelOrdered = false;
  modelOrderCount: number | undefined;

  /** Time allowed for the next order's answer, in milliseconds. */
  get orderTimeoutMs(): number {
    return Math.min(
      ORDER_TIMEOUT_MAX_MS,
      Math.max(
        ORDER_TIMEOUT_MIN_MS,
        this.averageOrderMs * ORDER_TIMEOUT_FACTOR,
      ),
    );
  }

  /** Takes in how long an order took, or that it got no answer in time. */
  recordOrderTime(ms: number, hasReplied: boolean): void {
    // Without an answer the way may have become slower.
    this.averageOrderMs = hasReplied
      ? this.averageOrderMs + (ms - this.averageOrderMs) * ORDER_TIME_WEIGHT
      : Math.min(this.averageOrderMs * 1.5, ORDER_TIMEOUT_MAX_MS);
  }

  constructor(slotCount: number, model: string) {
    this.adapterSlots = new AdapterSlotTable(slotCount);
    this.model = model;
  }
}

/** What an answer to an order means for the table of places. */
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
