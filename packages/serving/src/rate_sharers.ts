/** Which instances share the limit of a workspace.
 *
 * @module
 */
import { rankByRendezvous } from "@banyanlb/core";
import { type RateLimit, unitsInWindow } from "./token_rate.ts";
import type { Member } from "./types.ts";

/** Largest number of shares: many small ones leave no room for a large request
 * although their sum does. It does not follow from the limit, since each change
 * of the number moves shares, and a share that moves rests for a window. */
const SHARES_MAX = 9;

/** A share has units for at least this many usual requests. */
const REQUESTS_MIN = 2;

/** The instances that share the limit of a workspace equally. The strongest come
 * first: callers use them, so that few units have to be lent. All instances with
 * the same list of members find the same ones in the same order, and one that is
 * removed changes no other's place.
 *
 * @example
 * ```ts
 * const sharers = rateSharers(members, {
 *   workspace: "w1",
 *   limit,
 *   windowMs,
 *   requestUnits: 1,
 * });
 * const share = 1 / sharers.length;
 * ```
 */
export function rateSharers(
  members: readonly Member[],
  options: {
    readonly workspace: string;
    readonly limit: RateLimit;
    readonly windowMs: number;
    /** Units of a usual request. */
    readonly requestUnits: number;
  },
): readonly Member[] {
  const { workspace, limit, windowMs, requestUnits } = options;
  const requests = unitsInWindow(limit, windowMs) / Math.max(1, requestUnits);
  const count = Math.floor(requests / REQUESTS_MIN);
  const shares = Math.max(1, Math.min(SHARES_MAX, count));
  const strongest = [...members].sort((a, b) => b.cores - a.cores);
  const weakestCores = strongest[shares - 1]?.cores ?? 0;
  // Weaker ones cannot be among them; hashes of a large fleet take long.
  const ranked = rankByRendezvous(
    strongest.filter(({ cores }) => cores >= weakestCores),
    { key: workspace, name: (member) => member.name },
  );
  // The sort is stable.
  return [...ranked].sort((a, b) => b.cores - a.cores).slice(0, shares);
}
