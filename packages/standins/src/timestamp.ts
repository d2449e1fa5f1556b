/** Clocks, and the timestamps in records.
 *
 * @module
 */

const NANOSECONDS_PER_MS = 1e6;

/** A point in time on both clocks. */
export interface Timestamp {
  /** Monotonic clock in milliseconds, comparable between processes on one
   * machine. */
  readonly mono_ms: number;
  /** Wall clock in milliseconds since the Unix epoch. */
  readonly wall_ms: number;
}

/** Returns the monotonic time in milliseconds, comparable between processes on
 * one machine. */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS;
}

/** Returns the current time on both clocks. */
export function timestamp(): Timestamp {
  return { mono_ms: monotonicMs(), wall_ms: Date.now() };
}
