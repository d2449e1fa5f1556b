/** Types, schemas and errors, and the abstract classes that other packages
 * implement.
 *
 * @module
 */
export * from "./answer_status.ts";
export * from "./clock.ts";
export * from "./engine_client.ts";
export * from "./events.ts";
export * from "./generated/stored.ts";
export * from "./hash.ts";
export * from "./instance_list.ts";
export * from "./invariant.ts";
export * from "./memory_object_store.ts";
export * from "./metrics.ts";
export * from "./object_store.ts";
export * from "./policy.ts";
export * from "./refusal.ts";
export * from "./store_error.ts";
export * from "./validator.ts";
