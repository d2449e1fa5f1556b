/** Elapsed time by the steady clock and the time of day together.
 *
 * @module
 */

/** A moment on both clocks, in milliseconds. */
export interface Moment {
  readonly monotonic: number;
  readonly wall: number;
}

/** Reads both clocks. */
export abstract class ClockPair {
  /** The present moment. */
  abstract read(): Moment;

  /** Milliseconds since `from`, by whichever clock shows more.
   *
   * The steady clock does not count a suspension of the machine; the time of
   * day may be set back. Either alone would extend a lease.
   *
   * @example
   * ```ts
   * const start = clocks.read();
   * clocks.since(start); // 0
   * ```
   */
  elapsedMs(from: Moment): number {
    const now = this.read();
    return Math.max(now.monotonic - from.monotonic, now.wall - from.wall);
  }
}

/** The process's own clocks. */
export class SystemClocks extends ClockPair {
  override read(): Moment {
    return { monotonic: performance.now(), wall: Date.now() };
  }
}

/** Clocks that tests set by hand. */
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
