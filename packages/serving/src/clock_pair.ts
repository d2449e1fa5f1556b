/** Measures elapsed time by the monotonic clock and the wall clock together.
 *
 * @module
 */

/** Maximum assumed difference between the wall clocks of two machines, in
 * milliseconds. */
export const WALL_CLOCK_SKEW_MS = 2000;

/** A moment on both clocks, in milliseconds. */
export interface Moment {
  readonly monotonic: number;
  readonly wall: number;
}

/** Reads both clocks. */
export abstract class ClockPair {
  /** The present moment. */
  abstract read(): Moment;

  /** Milliseconds since `from`, by the clock that shows more.
   *
   * The monotonic clock does not count a suspension of the machine; the wall
   * clock may be set back. Either alone would extend a lease.
   *
   * @example
   * ```ts
   * const start = clocks.read();
   * clocks.elapsedMs(start); // 0
   * ```
   */
  elapsedMs(from: Moment): number {
    const now = this.read();
    return Math.max(now.monotonic - from.monotonic, now.wall - from.wall);
  }
}

/** The clocks of this process. */
export class SystemClocks extends ClockPair {
  override read(): Moment {
    return { monotonic: performance.now(), wall: Date.now() };
  }
}

/** Clocks that tests set. */
export class ManualClocks extends ClockPair {
  monotonic = 0;
  wall = 0;

  override read(): Moment {
    return { monotonic: this.monotonic, wall: this.wall };
  }

  /** Moves both clocks forward. */
  advance(ms: number): void {
    this.monotonic += ms;
    this.wall += ms;
  }
}
