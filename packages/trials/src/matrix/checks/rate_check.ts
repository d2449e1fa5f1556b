/** Checks the tokens that engines processed in every window against rate and
 * burst.
 *
 * @module
 */
import type { EngineRequestRecord } from "@banyanlb/standins";

/** Rate and burst limits. */
export interface RateLimits {
  readonly rate_tokens_per_s: number;
  readonly burst_tokens: number;
}

/** Tokens of one request, at its time of arrival. */
export interface Arrival {
  readonly at_ms: number;
  readonly tokens: number;
}

/** The window with the most tokens above the rate. */
export interface WorstWindow {
  readonly from_ms: number;
  readonly to_ms: number;
  readonly tokens: number;
  /** Tokens above rate times window length; must not exceed the burst. */
  readonly above_rate: number;
}

const MS_PER_S = 1_000;
const ROUNDING_TOLERANCE = 1e-6;

/** Returns the tokens that ran for a workspace, sorted by time of arrival. */
export function arrivalsOf(
  requests: readonly EngineRequestRecord[],
  workspace: string,
): readonly Arrival[] {
  return requests
    .filter((request) => request.workspace === workspace && request.ran)
    .map((request) => ({
      at_ms: request.start.mono_ms,
      tokens: request.prompt_tokens + request.tokens,
    }))
    .sort((a, b) => a.at_ms - b.at_ms);
}

/** Returns the worst window between any two arrivals, both included.
 *
 * @example
 * ```ts
 * const at = [{ at_ms: 0, tokens: 5 }, { at_ms: 1_000, tokens: 5 }];
 * findWorstWindow(at, 2).above_rate; // 8: 10 tokens minus 2 for the rate
 * ```
 */
export function findWorstWindow(
  arrivals: readonly Arrival[],
  rate_tokens_per_s: number,
): WorstWindow {
  let worst: WorstWindow = { from_ms: 0, to_ms: 0, tokens: 0, above_rate: 0 };
  for (let first = 0; first < arrivals.length; first++) {
    const from_ms = arrivals[first]?.at_ms ?? 0;
    let tokens = 0;
    for (const { at_ms, tokens: arrival_tokens } of arrivals.slice(first)) {
      tokens += arrival_tokens;
      const allowed = rate_tokens_per_s * (at_ms - from_ms) / MS_PER_S;
      const above_rate = tokens - allowed;
      if (above_rate <= worst.above_rate) continue;
      worst = { from_ms, to_ms: at_ms, tokens, above_rate };
    }
  }
  return worst;
}

/** Finds a window with more tokens than rate and burst allow. */
export function checkRate(
  arrivals: readonly Arrival[],
  limits: RateLimits,
): readonly string[] {
  const worst = findWorstWindow(arrivals, limits.rate_tokens_per_s);
  if (worst.above_rate <= limits.burst_tokens + ROUNDING_TOLERANCE) return [];
  const window_ms = (worst.to_ms - worst.from_ms).toFixed(1);
  const over = (worst.above_rate - limits.burst_tokens).toFixed(1);
  return [
    `${worst.tokens} tokens in ${window_ms} ms are ${over} over ` +
    `${limits.rate_tokens_per_s}/s and a burst of ${limits.burst_tokens}`,
  ];
}
