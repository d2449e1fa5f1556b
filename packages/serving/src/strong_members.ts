/** Which instances are strong enough to serve callers before the others.
 *
 * @module
 */
import type { Member } from "./types.ts";

/** An instance counts as strong from this fraction of the largest number of
 * cores. */
const STRONG_FRACTION = 0.6;

/** The members whose processors come near the strongest one's.
 *
 * @example
 * ```ts
 * strongMembers([weak, strong]); // [strong]
 * ```
 */
export function strongMembers<T extends Member>(
  members: readonly T[],
): readonly T[] {
  const maxCores = Math.max(...members.map((m) => m.cores));
  return members.filter((m) => m.cores >= maxCores * STRONG_FRACTION);
}
