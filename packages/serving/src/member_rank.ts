/** The common order of instances, by which all of them find the same ones for a
 * task without asking.
 *
 * @module
 */
import type { Member } from "./types.ts";

/** Whether `a` is chosen before `b` for work on behalf of others: the instance
 * with more cores, then the first by name.
 *
 * @example
 * ```ts
 * members.toSorted((a, b) => precedes(a, b) ? -1 : 1);
 * ```
 */
export function precedes(a: Member, b: Member): boolean {
  return a.cores === b.cores ? a.name < b.name : a.cores > b.cores;
}
