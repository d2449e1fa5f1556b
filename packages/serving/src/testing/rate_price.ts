/** Tables of what a fleet admits and what the limit costs callers, as text.
 *
 * @module
 */
import type { RateLimit } from "../token_rate.ts";
import { unitsBound } from "./admitted_units.ts";
import type { Callers } from "./fleet_parts.ts";
import { runFleet } from "./rate_fleet_simulation.ts";

const LIMIT: RateLimit = { perSecond: 53_000, burst: 53_000 };
const FLEETS = [8, 60];
const CALLERS: readonly Callers[] = ["even", "half_at_one", "one"];
const DELAYS_MS = [0, 500, 1000, 2000];
const SEED = 22;

/** Requests begin this long before the steady state. */
const SETTLING_MS = 12_000;

/** The part of the limit that callers can use in the steady state, and the part
 * of the requests that are refused although the fleet is within its limit. */
export function priceTable(): string {
  return table([0.7, 0.9, 1, 3], (options) => {
    const { usedFraction, needlesslyRefused, requests } = runFleet({
      ...options,
      durationMs: SETTLING_MS + 24_000,
      measuredFromMs: SETTLING_MS,
    });
    const refused = needlesslyRefused / requests;
    return `${percent(usedFraction)} used, ${percent(refused)} refused`;
  });
}

/** The most that is admitted within a window after an empty one, as a fraction
 * of what the rule allows. */
export function admittedTable(): string {
  return table([3, 10], (options) => {
    const { maxInWindow } = runFleet({ ...options, durationMs: 20_000 });
    return percent(maxInWindow / unitsBound(LIMIT));
  });
}

type TableRun = Omit<Parameters<typeof runFleet>[0], "durationMs">;

function table(
  demands: readonly number[],
  cell: (run: TableRun) => string,
): string {
  const head = `instances, callers, demand | ${
    DELAYS_MS.map((ms) => `${ms} ms late`).join(" | ")
  }`;
  const rows = FLEETS.flatMap((instances) =>
    CALLERS.flatMap((callers) =>
      demands.map((demand) => {
        const cells = DELAYS_MS.map((delayMs) =>
          cell({
            instances,
            limit: LIMIT,
            demand,
            callers,
            seed: SEED,
            delayMs: () => delayMs,
          })
        );
        return `${instances}, ${callers}, ${demand} x | ${cells.join(" | ")}`;
      })
    )
  );
  return [head, ...rows].join("\n");
}

function percent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`;
}
