/** Conditions under which an owner may grant permits and order loads and
 * evictions.
 *
 * @module
 */
import type { AdapterStatus } from "./adapter_table.ts";

/** State of an adapter that decides whether it may be evicted. */
export interface EvictionFacts {
  readonly status: AdapterStatus;
  /** Number of permits of the adapter that have neither been released nor
   * expired. */
  readonly outstanding: number;
  /** True if a request without a permit may be running on the adapter. */
  readonly in_doubt: boolean;
  /** Number of members that have not yet reported their permits of former
   * owners. */
  readonly unreported_count: number;
}

/** Checks each action of an owner. The calling code must act on the result in
 * the same turn of the event loop, because the result may change after it. */
export class SafetyRules {
  /** True if a permit may be granted, because the lease has not expired. */
  mayGrant(lease_remaining_ms: number): boolean {
    return lease_remaining_ms > 0;
  }

  /** True if an order that is sent now ends, at the latest by its timeout,
   * before the lease expires. */
  mayOrder(lease_remaining_ms: number, order_timeout_ms: number): boolean {
    return lease_remaining_ms > order_timeout_ms;
  }

  /** True if the adapter is loaded and no request can be running on it. */
  mayEvict(facts: EvictionFacts): boolean {
    return facts.status === "loaded" && facts.outstanding === 0 &&
      !facts.in_doubt && facts.unreported_count === 0;
  }
}
