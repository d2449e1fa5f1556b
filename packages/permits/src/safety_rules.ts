/** The conditions under which an owner may act.
 *
 * @module
 */
import type { AdapterStatus } from "./adapter_table.ts";

/** What an eviction depends on. */
export interface EvictionFacts {
  readonly status: AdapterStatus;
  /** Permits of the adapter that count as in use. */
  readonly outstanding: number;
  /** True if a request without permit may run on the adapter. */
  readonly in_doubt: boolean;
  /** Members whose permits of a former owner are not known yet. */
  readonly unreported_count: number;
}

/** Decides each act of an owner. Called in the turn of the act. */
export class SafetyRules {
  /** True if the lease allows a grant. */
  mayGrant(lease_remaining_ms: number): boolean {
    return lease_remaining_ms > 0;
  }

  /** True if the lease outlasts an order that is sent now. */
  mayOrder(lease_remaining_ms: number, order_timeout_ms: number): boolean {
    return lease_remaining_ms > order_timeout_ms;
  }

  /** True if no request can run on the adapter. */
  mayEvict(facts: EvictionFacts): boolean {
    return facts.status === "loaded" && facts.outstanding === 0 &&
      !facts.in_doubt && facts.unreported_count === 0;
  }
}
