/** The order in which engines serve requests.
 *
 * @module
 */

/** Added to the urgency value of a request that will miss its target latency,
 * so that the engine serves it later. */
const LATE_URGENCY_PENALTY = 4;

/** The urgency value that is served last. */
const URGENCY_MAX = 9;

/** The urgency value that the engine receives; 0 is served first. A request
 * that will miss its target latency is served after requests that can still
 * meet their target latency; within each group the priority decides.
 *
 * @example
 * ```ts
 * urgencyOf(1, true); // 5
 * ```
 */
export function urgencyOf(priority: number, isLate: boolean): number {
  return Math.min(URGENCY_MAX, priority + (isLate ? LATE_URGENCY_PENALTY : 0));
}
