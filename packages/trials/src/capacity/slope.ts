/** Named slopes: measurements with a fitted line.
 *
 * @module
 */
import { type Fit, fitLine, type Point, valueAt } from "./fit.ts";

/** One measured slope. */
export interface Slope {
  /** Short name, by which the model looks up the slope. */
  readonly name: string;
  /** Description of the measured quantity. */
  readonly what: string;
  /** Unit of the size, e.g. `adapters`. */
  readonly per: string;
  /** Unit of the measured quantity, e.g. `B`. */
  readonly unit: string;
  readonly points: readonly Point[];
  readonly fit: Fit;
}

/** Measured points of a slope, without the fitted line. */
export type Measurement = Omit<Slope, "fit">;

/** How the figure at a size was obtained. */
export type Basis = "measured" | "fitted" | "extrapolated" | "assumed";

/** Fits a line to a measurement. */
export function fitSlope(measurement: Measurement): Slope {
  return { ...measurement, fit: fitLine(measurement.points) };
}

/** Slopes of one run, looked up by name. */
export class Slopes {
  readonly #by_name: ReadonlyMap<string, Slope>;

  constructor(slopes: readonly Slope[]) {
    this.#by_name = new Map(slopes.map((slope) => [slope.name, slope]));
  }

  /** All slopes in the order in which they were measured. */
  get all(): readonly Slope[] {
    return [...this.#by_name.values()];
  }

  /** Returns a slope by name. Throws if it was not measured. */
  get(name: string): Slope {
    const slope = this.#by_name.get(name);
    if (slope === undefined) throw new Error(`slope ${name} was not measured`);
    return slope;
  }

  /** Increase of the quantity for each unit of the size. */
  perUnit(name: string): number {
    return this.get(name).fit.slope;
  }

  /** Value of the fitted line at size `x`. */
  at(name: string, x: number): number {
    return valueAt(this.get(name).fit, x);
  }

  /** Whether `x` was measured, is at most the largest measured size, or is
   * beyond it. */
  basisAt(name: string, x: number): Basis {
    const sizes = this.get(name).points.map((point) => point.x);
    if (sizes.includes(x)) return "measured";
    return x <= Math.max(...sizes) ? "fitted" : "extrapolated";
  }
}
