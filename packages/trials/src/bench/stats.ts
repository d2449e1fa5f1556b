/** Quantiles, medians and spreads.
 *
 * @module
 */

/** A median with the least and the greatest value. */
export interface Spread {
  readonly median: number;
  readonly min: number;
  readonly max: number;
}

/** The value below which the part `q` of the values lies; NaN without any. */
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

/** Median and range over the seeds of a measurement. */
export function computeSpread(values: readonly number[]): Spread {
  const valid = values.filter((value) => !Number.isNaN(value));
  if (valid.length === 0) return { median: NaN, min: NaN, max: NaN };
  return {
    median: quantile(valid, 0.5),
    min: Math.min(...valid),
    max: Math.max(...valid),
  };
}
