/** Rate limits of a workspace and of one of its equal shares.
 *
 * @module
 */
import {
  MS_PER_S,
  RESERVATION_VALIDITY_MS,
  VALIDITY_BURST_FRACTION,
} from "./constants.ts";

/** A workspace's rate limits and the slots that hold its shares. */
export interface RateWorkspace {
  readonly name: string;
  /** Tokens per second, summed over all instances. */
  readonly rate: number;
  /** Tokens that may be spent at once, summed over all instances. */
  readonly burst: number;
  /** Slots that hold one equal share each. Their number must not change while
   * the workspace exists. */
  readonly slots: readonly number[];
}

/** Limits of one share. */
export interface ShareLimits {
  /** Tokens per second. */
  readonly rate: number;
  /** Maximum number of tokens in the bucket. */
  readonly capacity: number;
  /** Milliseconds from the token request within which the tokens may reach a
   * target. */
  readonly validity_ms: number;
}

/** Milliseconds for which a reservation is valid. A burst that is small
 * relative to the rate shortens the period, so that most of the burst stays
 * usable. */
export function reservationValidityMs(
  workspace: Pick<RateWorkspace, "rate" | "burst">,
): number {
  const fill_ms = workspace.burst / workspace.rate * MS_PER_S;
  return Math.min(RESERVATION_VALIDITY_MS, fill_ms * VALIDITY_BURST_FRACTION);
}

/** Limits of one share of a workspace. Tokens that reach targets within a
 * window of `w` milliseconds were debited within `w + validity_ms`. The
 * capacity is therefore the share of the burst less the refill during
 * `validity_ms`.
 *
 * @example
 * ```ts
 * shareLimits({ name: "a", rate: 30, burst: 60, slots: [1, 2, 3] });
 * // { rate: 10, capacity: 17.5, validity_ms: 250 }
 * ```
 */
export function shareLimits(workspace: RateWorkspace): ShareLimits {
  const shares = workspace.slots.length;
  const validity_ms = reservationValidityMs(workspace);
  const rate = workspace.rate / shares;
  const capacity = workspace.burst / shares - rate * validity_ms / MS_PER_S;
  return { rate, capacity, validity_ms };
}
