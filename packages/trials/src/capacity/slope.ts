/** Named slopes and their collection.
 *
 * @module
 */
import { type Fit, fitLine, type Point, valueAt } from "./fit.ts";

/** One measured slope. */
export interface Slope {
  /** Short name by which the model finds it. */
  readonly name: string;
  /** What was measured, in words. */
  readonly what: string;
  /** What the size counts, e.g. `adapters`. */
  readonly per: string;
  /** Unit of the measured quantity, e.g. `B`. */
  readonly unit: string;
  readonly points: readonly Point[];
  readonly fit: Fit;
}

/** A slope before its line is fitted. */
export type Measurement = Omit<Slope, "fit">;

/** How a figure at some size was obtained. */
export type Basis = "measured" | "fitted" | "extrapolated" | "assumed";

/** Fits the line of a measurement. */
export function fitSlope(measurement: Measurement): Slope {
  return { ...measurement, fit: fitLine(measurement.points) };
}

/** The slopes of one run, by name. */
export class Slopes {
  readonly #by_name: ReadonlyMap<string, Slope>;

  constructor(slopes: readonly Slope[]) {
    this.#by_name = new Map(slopes.map((slope) => [slope.name, slope]));
  }

  /** All slopes in the order in which they were measured. */
  get all(): readonly Slope[] {
    return [...this.#by_name.values()];
  }

  /** The slope of a name. Throws if it was not measured. */
  get(name: string): Slope {
    const slope = this.#by_name.get(name);
    if (slope === undefined) throw new Error(`slope ${name} was not measured`);
    return slope;
  }

  /** Quantity that one more of the size adds. */
  perUnit(name: string): number {
    return this.get(name).fit.slope;
  }

  /** Quantity at size `x`. */
  at(name: string, x: number): number {
    return valueAt(this.get(name).fit, x);
  }

  /** Whether `x` is a measured size, within the sizes, or beyond them. */
  basisAt(name: string, x: number): Basis {
    const sizes = this.get(name).points.map((point) => point.x);
    if (sizes.includes(x)) return "measured";
    return x <= Math.max(...sizes) ? "fitted" : "extrapolated";
  }
}
