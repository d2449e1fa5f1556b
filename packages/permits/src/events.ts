/** Numbered log events 600 to 699.
 *
 * @module
 */
import type { LogEvent } from "@banyanlb/core";

/** Log events of permits. */
export const events = {
  /** This instance became the target's owner. */
  target_held: {
    id: 600,
    severity: "info",
    text: "owning target",
  },
  /** This instance no longer owns the target. */
  target_dropped: {
    id: 601,
    severity: "info",
    text: "no longer owning target",
  },
  /** The engine has already seen a higher fencing token: this instance grants no more permits and sends no more orders for the target. */
  target_fenced: {
    id: 602,
    severity: "warn",
    text: "target rejected an order of an old epoch; a newer owner exists",
  },
  /** The engine replied to a load order with a failure. The load is retried after a back-off. */
  load_failed: {
    id: 610,
    severity: "warn",
    text: "load failed; check the version's weights",
  },
  /** The engine did not reply to an order in time, so that the order may still take effect. */
  order_unknown: {
    id: 611,
    severity: "warn",
    text: "outcome of an order is unknown; waiting for the engine's report",
  },
  /** The engine rejected an order, for example because no adapter slot was free. */
  order_rejected: {
    id: 612,
    severity: "warn",
    text: "engine rejected an order; check the target's adapter_slots",
  },
  /** The engine's boot id changed: the adapters that it had loaded are gone. */
  engine_restarted: {
    id: 613,
    severity: "warn",
    text: "engine restarted empty; its adapters are loaded again on demand",
  },
  /** Consecutive requests or reports failed and opened the circuit breaker: no permits are granted for the target. */
  target_failing: {
    id: 614,
    severity: "warn",
    text: "target is failing; no permits are granted until a probe succeeds",
  },
  /** A probe closed the circuit breaker: permits are granted for the target again. */
  target_recovered: {
    id: 615,
    severity: "info",
    text: "target recovered; permits are granted again",
  },
  /** A permit was not released by its deadline. The engine's report shows whether its request is still running. */
  permit_expired: {
    id: 616,
    severity: "warn",
    text: "permit was not released before its deadline",
  },
  /** Every member has reported its permits of former owners, or can no longer send a request with one. */
  take_over_complete: {
    id: 620,
    severity: "info",
    text: "all permits of former owners are accounted for; evictions resume",
  },
  /** A task of the target threw. This instance grants no more permits for the target. */
  task_failed: {
    id: 630,
    severity: "error",
    text:
      "task of a target failed; target gets no more permits, please report this",
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
