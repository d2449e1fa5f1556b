/** Which instances share the limit of a workspace.
 *
 * @module
 */
import { rankByRendezvous } from "@banyanlb/core";
import { type RateLimit, unitsInWindow } from "./token_rate.ts";
import type { Member } from "./types.ts";

/** The instances that share the limit of a workspace equally. A share is no
 * smaller than the burst, since many small shares leave no room for a large
 * request although their sum does; all instances share the limit if that allows
 * it. The strongest come first: callers use them, so that few units have to be
 * lent. All instances with the same list of members find the same ones in the
 * same order, and one that is removed changes no other's place.
 *
 * @example
 * ```ts
 * const sharers = rateSharers(members, { workspace: "w1", limit, windowMs });
 * const share = 1 / sharers.length;
 * ```
 */
export function rateSharers(
  members: readonly Member[],
  options: {
    readonly workspace: string;
    readonly limit: RateLimit;
    readonly windowMs: number;
  },
): readonly Member[] {
  const { workspace, limit, windowMs } = options;
  const shares = unitsInWindow(limit, windowMs) / Math.max(1, limit.burst);
  const count = Math.max(1, Math.floor(shares));
  const ranked = rankByRendezvous(members, {
    key: workspace,
    name: (member) => member.name,
  });
  // The sort is stable.
  return [...ranked].sort((a, b) => b.cores - a.cores).slice(0, count);
}
