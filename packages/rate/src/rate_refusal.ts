/** Reasons for the refusal of tokens.
 *
 * @module
 */

import { RETRY_AFTER_MIN_MS, UNREACHABLE_TTL_MS } from "./constants.ts";
import { type HolderLevel, timeUntilLevelMs } from "./level_estimates.ts";

/** The workspace has used up its rate and burst. */
export interface RateLimitedRefusal {
  readonly kind: "rate_limited";
  readonly message: string;
  /** Milliseconds until the shares can grant the tokens if no other request
   * takes any. */
  readonly retry_after_ms: number;
}

/** The request needs more tokens than the capacity of all shares. */
export interface OverBurstRefusal {
  readonly kind: "over_burst";
  readonly message: string;
  /** Tokens of the largest request that can be granted. */
  readonly capacity: number;
}

/** The request may need shares whose holder is unreachable. */
export interface UnreachableRefusal {
  readonly kind: "unreachable";
  readonly message: string;
  readonly retry_after_ms: number;
}

/** Any refusal of tokens. The request was not executed. */
export type RateRefusal =
  | RateLimitedRefusal
  | OverBurstRefusal
  | UnreachableRefusal;

/** Input of {@linkcode explainRefusal}. */
export interface RefusalCause {
  readonly workspace: string;
  readonly tokens: number;
  /** Number of the workspace's shares. */
  readonly shares: number;
  /** Levels by holder. Without an estimate, `shares` is 0. */
  readonly levels: readonly HolderLevel[];
}

/** Determines why the shares cannot grant the tokens now. */
export function explainRefusal(cause: RefusalCause): RateRefusal {
  const { levels, shares, tokens, workspace } = cause;
  const reported_shares = levels.reduce((sum, row) => sum + row.shares, 0);
  if (reported_shares < shares || shares === 0) {
    return {
      kind: "unreachable",
      message:
        `${shares - reported_shares} of ${shares} rate shares of workspace ` +
        `${workspace} have no holder that answers; repeat shortly`,
      retry_after_ms: UNREACHABLE_TTL_MS,
    };
  }
  const wait_ms = timeUntilLevelMs(tokens, levels);
  if (wait_ms === undefined) return explainOverBurst(cause);
  return {
    kind: "rate_limited",
    message: `workspace ${workspace} has spent its rate; repeat after ` +
      `retry_after_ms`,
    retry_after_ms: Math.max(RETRY_AFTER_MIN_MS, Math.ceil(wait_ms)),
  };
}

function explainOverBurst(cause: RefusalCause): OverBurstRefusal {
  const capacity = cause.levels.reduce((sum, row) => sum + row.capacity, 0);
  return {
    kind: "over_burst",
    message: `${cause.tokens} tokens are more than workspace ` +
      `${cause.workspace} can spend at once (${Math.floor(capacity)}); ` +
      `lower max_tokens or raise burst_tokens`,
    capacity,
  };
}
