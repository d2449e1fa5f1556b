/** Decision logic of the gateway, without network access.
 *
 * @module
 */
export * from "./adapter_slot_table.ts";
export * from "./adapter_versions.ts";
export * from "./assignment.ts";
export * from "./lag_detector.ts";
export * from "./byte_budget.ts";
export * from "./byte_collector.ts";
export * from "./choose_engine.ts";
export * from "./confirmation.ts";
export * from "./crash_evidence.ts";
export * from "./digest_board.ts";
export * from "./digest_message.ts";
export * from "./digest_plane.ts";
export * from "./digest_topology.ts";
export * from "./distance.ts";
export * from "./drain_window.ts";
export * from "./engine_limits.ts";
export * from "./engine_table.ts";
export * from "./engine_health.ts";
export * from "./engine_path.ts";
export * from "./event_boundary.ts";
export * from "./event_framer.ts";
export * from "./fingerprint.ts";
export * from "./idle_limit.ts";
export * from "./expired_entries.ts";
export * from "./load_totals.ts";
export * from "./member_rank.ts";
export * from "./member_table.ts";
export * from "./order_lease.ts";
export * from "./owner_memory.ts";
export * from "./part_quarantine.ts";
export * from "./path_delays.ts";
export * from "./ports.ts";
export * from "./record_set.ts";
export * from "./report_row.ts";
export * from "./retry_budget.ts";
export * from "./route_table.ts";
export * from "./steering.ts";
export * from "./rate_lenders.ts";
export * from "./rate_sharers.ts";
export * from "./token_rate.ts";
export * from "./trial_turn.ts";
export * from "./clock_pair.ts";
export * from "./types.ts";
export * from "./urgency.ts";
