/** Counts events in sliding windows.
 *
 * @module
 */

/** The most of these times that lie within one window.
 *
 * @example
 * ```ts
 * mostWithin([0, 400, 1100], 1000); // 2
 * ```
 */
export function mostWithin(times: readonly number[], windowMs: number): number {
  const counts = times.map((start) =>
    times.filter((at) => at >= start && at < start + windowMs).length
  );
  return Math.max(0, ...counts);
}
