/** Elapsed time by the steady clock and the time of day together.
 *
 * @module
 */

/** A moment on both clocks, in milliseconds. */
export interface Moment {
  readonly steady: number;
  readonly wall: number;
}

/** Reads both clocks. */
export abstract class TwoClocks {
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
  since(from: Moment): number {
    const now = this.read();
    return Math.max(now.steady - from.steady, now.wall - from.wall);
  }
}

/** The process's own clocks. */
export class SystemClocks extends TwoClocks {
  override read(): Moment {
    return { steady: performance.now(), wall: Date.now() };
  }
}

/** Clocks that tests set by hand. */
export class ManualClocks extends TwoClocks {
  steady = 0;
  wall = 0;

  override read(): Moment {
    return { steady: this.steady, wall: this.wall };
  }

  /** Moves both clocks forward. */
  advance(ms: number): void {
    this.steady += ms;
    this.wall += ms;
  }
}
