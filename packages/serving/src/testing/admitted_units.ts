/** Measures what a simulated fleet admitted against the limit.
 *
 * @module
 */
import type { RateLimit } from "../token_rate.ts";

/** Length of the window to which the limit applies, in milliseconds. */
export const WINDOW_MS = 8000;

/** Length of a step of the simulation, in milliseconds. */
export const STEP_MS = 10;

const STEPS_PER_WINDOW = WINDOW_MS / STEP_MS;

/** Units that a limit allows within a window. */
export function allowedUnits({ perSecond, burst }: RateLimit): number {
  return perSecond * WINDOW_MS / 1000 + burst;
}

/** The most units that may run within a window: the limit, a tenth more, and
 * 17,000 units. */
export function unitsBound(limit: RateLimit): number {
  return allowedUnits(limit) * 1.1 + 17_000;
}

/** Units that run, by the time at which they were admitted. */
export class AdmittedUnits {
  readonly #unitsByStep: number[];

  constructor(durationMs: number) {
    this.#unitsByStep = new Array<number>(durationMs / STEP_MS).fill(0);
  }

  add(units: number, now: number): void {
    const step = now / STEP_MS;
    this.#unitsByStep[step] = (this.#unitsByStep[step] ?? 0) + units;
  }

  /** Units in the window that ends at `now`. */
  inWindowAt(now: number): number {
    const step = now / STEP_MS;
    return sum(
      this.#unitsByStep.slice(
        Math.max(0, step + 1 - STEPS_PER_WINDOW),
        step + 1,
      ),
    );
  }

  /** The window with the most units. */
  fullestWindow(): { readonly units: number; readonly startsAt: number } {
    let units = 0;
    let fullest = { units: 0, startsAt: 0 };
    this.#unitsByStep.forEach((added, step) => {
      units += added - (this.#unitsByStep[step - STEPS_PER_WINDOW] ?? 0);
      if (units <= fullest.units) return;
      const startsAt = Math.max(0, step + 1 - STEPS_PER_WINDOW) * STEP_MS;
      fullest = { units, startsAt };
    });
    return fullest;
  }

  totalSince(time: number): number {
    return sum(this.#unitsByStep.slice(time / STEP_MS));
  }
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((a, b) => a + b, 0);
}
