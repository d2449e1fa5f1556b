/** Parts that the tests of other packages use too.
 *
 * @module
 */
export * from "./member_of.ts";
export * from "./hear_of.ts";
export * from "./engine_of.ts";
