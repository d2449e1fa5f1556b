/** The stated performance targets, and checks of measures against them.
 *
 * @module
 */
import type { Spread } from "./stats.ts";

/** The performance target of one measure. */
export interface StatedTarget {
  readonly measure: string;
  readonly at_most?: number;
  readonly at_least?: number;
}

/** Performance targets of the policy part. */
export const POLICY_TARGETS: readonly StatedTarget[] = [
  { measure: "first token p95 ms", at_most: 620 },
  { measure: "stalls over bound", at_most: 1.3 },
  { measure: "worst workspace's part of its fair share", at_least: 0.95 },
  { measure: "refused inside the rate", at_most: 0 },
  { measure: "batch efficiency", at_least: 0.9 },
  { measure: "between tokens p95 ms", at_most: 30 },
];

/** Performance targets of the relay part. */
export const RELAY_TARGETS: readonly StatedTarget[] = [
  { measure: "added to first token p50 ms", at_most: 3 },
  { measure: "added to first token p99 ms", at_most: 10 },
  { measure: "tokens a second per core", at_least: 15_000 },
];

/** Formats one line for each performance target, with the median and whether it
 * meets the target. */
export function checkTargets(
  targets: readonly StatedTarget[],
  values: Readonly<Record<string, Spread>>,
): readonly string[] {
  return targets.map(({ measure, at_most, at_least }) => {
    const value = values[measure]?.median ?? NaN;
    const is_met = value <= (at_most ?? Infinity) &&
      value >= (at_least ?? -Infinity);
    const limit = at_most === undefined
      ? `at least ${at_least}`
      : `at most ${at_most}`;
    const status = is_met ? "met   " : "MISSED";
    return `${status}  ${measure}: ${formatNumber(value)} (${limit})`;
  });
}

/** Formats a number with up to 3 decimals; "unserved" if it is infinite. */
export function formatNumber(value: number): string {
  if (!Number.isFinite(value)) return Number.isNaN(value) ? "-" : "unserved";
  if (Math.abs(value) >= 100 || Number.isInteger(value)) {
    return value.toFixed(0);
  }
  return value.toFixed(Math.abs(value) >= 10 ? 1 : 3);
}
