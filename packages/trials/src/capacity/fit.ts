/** Least-squares fit of a line to measured points.
 *
 * @module
 */

/** One measurement: a quantity `y` at a size `x`. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** The least-squares line `y = intercept + slope * x`. */
export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Ratio of the variance that the line explains; 1 is a perfect fit. */
  readonly r2: number;
}

/** Minimum number of distinct sizes for a fit. */
export const MIN_SIZES = 3;

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Fits a line by least squares. Throws with fewer than
 * {@linkcode MIN_SIZES} distinct sizes.
 *
 * @example
 * ```ts
 * fitLine([{ x: 1, y: 3 }, { x: 2, y: 5 }, { x: 3, y: 7 }]).slope; // 2
 * ```
 */
export function fitLine(points: readonly Point[]): Fit {
  const sizes = new Set(points.map((point) => point.x));
  if (sizes.size < MIN_SIZES) {
    throw new Error(`a slope needs ${MIN_SIZES} sizes; measure more`);
  }
  const x_mean = mean(points.map((point) => point.x));
  const y_mean = mean(points.map((point) => point.y));
  let xx = 0;
  let xy = 0;
  let yy = 0;
  for (const { x, y } of points) {
    xx += (x - x_mean) ** 2;
    xy += (x - x_mean) * (y - y_mean);
    yy += (y - y_mean) ** 2;
  }
  const slope = xy / xx;
  const intercept = y_mean - slope * x_mean;
  const residual_squares = points.reduce(
    (sum, { x, y }) => sum + (y - intercept - slope * x) ** 2,
    0,
  );
  return { slope, intercept, r2: yy === 0 ? 1 : 1 - residual_squares / yy };
}

/** Value of a line at `x`.
 *
 * @example
 * ```ts
 * valueAt({ slope: 2, intercept: 1, r2: 1 }, 10); // 21
 * ```
 */
export function valueAt(fit: Fit, x: number): number {
  return fit.intercept + fit.slope * x;
}
