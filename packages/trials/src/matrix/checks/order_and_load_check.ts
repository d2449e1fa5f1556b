/** Checks orders at engines and loads at the weight store.
 *
 * @module
 */
import type { Timestamp } from "@banyanlb/standins";
import type { TargetRecord } from "./engine_check.ts";
import { findWorstWindow, type RateLimits } from "./rate_check.ts";

/** One load that the weight store served. */
export interface WeightLoad {
  readonly path: string;
  readonly start: Timestamp;
  readonly in_flight: number;
}

/** Finds orders of former owners that an engine executed. An engine that checks
 * fencing tokens rejects such orders itself. */
export function checkOrders(
  records: readonly TargetRecord[],
): readonly string[] {
  return records.flatMap(({ target, record }) =>
    record.orders
      .filter((order) => order.stale && order.result !== "fenced")
      .map(({ order, name, epoch, highest_epoch }) =>
        `${target}: executed an order to ${order} ${name} of epoch ${epoch} ` +
        `after one of ${highest_epoch}`
      )
  );
}

/** Finds a window with more loads than the limits of the weight store allow. */
export function checkLoads(
  loads: readonly WeightLoad[],
  limits: RateLimits,
): readonly string[] {
  const arrivals = loads
    .map(({ start }) => ({ at_ms: start.mono_ms, tokens: 1 }))
    .sort((a, b) => a.at_ms - b.at_ms);
  const worst = findWorstWindow(arrivals, limits.rate_tokens_per_s);
  if (worst.above_rate <= limits.burst_tokens) return [];
  const window_ms = (worst.to_ms - worst.from_ms).toFixed(0);
  return [
    `${worst.tokens} loads in ${window_ms} ms are more than ` +
    `${limits.rate_tokens_per_s}/s and a burst of ${limits.burst_tokens}`,
  ];
}

/** Returns the milliseconds from the injection of a fault to the target's first
 * request with a higher fencing epoch than before; 0 if there was none. */
export function measureTakeoverMs(
  records: readonly TargetRecord[],
  options: { readonly target: string; readonly injected_ms: number },
): number {
  const { target, injected_ms } = options;
  const requests = records.find((row) => row.target === target)?.record
    .requests ?? [];
  const epochOf = (request: (typeof requests)[number]) =>
    Number(request.headers["x-fencing-epoch"]);
  const before = requests.filter(({ start }) => start.mono_ms < injected_ms);
  const highest = Math.max(0, ...before.map(epochOf));
  const first = requests.find((request) =>
    request.start.mono_ms >= injected_ms && epochOf(request) > highest
  );
  if (first === undefined) return 0;
  return Math.round(first.start.mono_ms - injected_ms);
}
