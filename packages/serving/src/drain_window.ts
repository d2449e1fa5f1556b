/** Decides what a draining instance still accepts.
 *
 * @module
 */
import type { Route } from "./types.ts";

/** How long a draining instance accepts streams, in milliseconds: the longest
 * last seconds and would be cut off when the grace period ends. */
export const DRAIN_STREAMS_MS = 2500;

/** Whether a request that arrives while the instance drains can get its answer
 * before the instance ends. One that cannot is refused before anything is sent to
 * an engine.
 *
 * @example
 * ```ts
 * if (!isAcceptedWhileDraining(route, { elapsedMs: 6000, endsAfterMs: 7750 })) {
 *   refuse(503);
 * }
 * ```
 */
export function isAcceptedWhileDraining(
  route: Pick<Route, "kind" | "timeoutMs">,
  times: {
    /** Time since the instance began to drain, in milliseconds. */
    readonly elapsedMs: number;
    /** Time from then to its end, in milliseconds. */
    readonly endsAfterMs: number;
  },
): boolean {
  const { elapsedMs, endsAfterMs } = times;
  if (route.kind === "stream") return elapsedMs < DRAIN_STREAMS_MS;
  return endsAfterMs - elapsedMs > route.timeoutMs;
}
