/** Safety margin for clock drift between a session's holder and a process that
 * may take it over.
 *
 * @module
 */
import { CLOCK_DRIFT_RATIO, MIN_DRIFT_MARGIN_MS } from "./constants.ts";

/** Returns `ms` plus the drift margin, in milliseconds.
 *
 * @example
 * ```ts
 * withDriftMargin(10_000); // 10_200
 * ```
 */
export function withDriftMargin(ms: number): number {
  return ms + Math.max(MIN_DRIFT_MARGIN_MS, ms * CLOCK_DRIFT_RATIO);
}
