/** Limits of a workspace and of one of its equal shares.
 *
 * @module
 */
import {
  MS_PER_S,
  RESERVATION_VALIDITY_MS,
  VALIDITY_BURST_FRACTION,
} from "./constants.ts";

/** A workspace's limits and the slots that keep its shares. */
export interface RateWorkspace {
  readonly name: string;
  /** Tokens per second over all instances. */
  readonly rate: number;
  /** Tokens over all instances that may be spent at once. */
  readonly burst: number;
  /** Slots that keep one equal share each. Their number must not change
   * while the workspace exists. */
  readonly slots: readonly number[];
}

/** Limits of one share. */
export interface ShareLimits {
  /** Tokens per second. */
  readonly rate: number;
  /** Most tokens that the bucket holds. */
  readonly capacity: number;
  /** Milliseconds from the ask to the arrival at a target. */
  readonly validity_ms: number;
}

/** The time in which reserved tokens may reach a target. A small burst over a
 * high rate shortens it, so that most of the burst stays usable. */
export function reservationValidityMs(
  workspace: Pick<RateWorkspace, "rate" | "burst">,
): number {
  const fill_ms = workspace.burst / workspace.rate * MS_PER_S;
  return Math.min(RESERVATION_VALIDITY_MS, fill_ms * VALIDITY_BURST_FRACTION);
}

/** Limits of one share of a workspace. The capacity is the share of the burst
 * less the refill during the use time: tokens that arrive within a window of
 * `w` were debited within `w + validity_ms`.
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
