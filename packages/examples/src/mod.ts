/** Runnable examples of the coordination packages.
 *
 * @module
 */
export { type Print, runCoordination } from "./run_coordination.ts";
