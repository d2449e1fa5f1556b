/** Decision logic of the gateway, without network access.
 *
 * @module
 */
export * from "./adapter_places.ts";
export * from "./assignment.ts";
export * from "./behind_watch.ts";
export * from "./choose_engine.ts";
export * from "./digest_pace.ts";
export * from "./engine_board.ts";
export * from "./engine_health.ts";
export * from "./event_framer.ts";
export * from "./idle_limit.ts";
export * from "./lapsed_entries.ts";
export * from "./member_table.ts";
export * from "./order_lease.ts";
export * from "./ports.ts";
export * from "./retry_allowance.ts";
export * from "./route_table.ts";
export * from "./steering.ts";
export * from "./token_rate.ts";
export * from "./two_clocks.ts";
export * from "./types.ts";
