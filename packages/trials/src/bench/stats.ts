/** Quantiles, sums and spreads.
 *
 * @module
 */

/** Median, minimum and maximum of a series. */
export interface Spread {
  readonly median: number;
  readonly min: number;
  readonly max: number;
}

/** The `q` quantile of the values, by nearest rank; NaN if there are none. */
export function quantile(values: readonly number[], q: number): number {
  if (values.length === 0) return NaN;
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.ceil(q * sorted.length) - 1;
  return sorted[Math.min(sorted.length - 1, Math.max(0, rank))]!;
}

/** The sum of values. */
export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Median and range of the values, without NaN. */
export function computeSpread(values: readonly number[]): Spread {
  const valid = values.filter((value) => !Number.isNaN(value));
  if (valid.length === 0) return { median: NaN, min: NaN, max: NaN };
  return {
    median: quantile(valid, 0.5),
    min: Math.min(...valid),
    max: Math.max(...valid),
  };
}
