/** The entry gateway.
 *
 * @module
 */
export * from "./gateway.ts";
export * from "./log_stream.ts";
