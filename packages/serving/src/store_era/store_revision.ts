/** Revisions that stay in order when the store comes back from an older copy.
 *
 * The store numbers its changes. After it was restored it gives out numbers
 * again that it had given out before, and counts the restores: its era. A
 * revision contains both, so the later one of two is the higher one. In the first
 * era a revision is the store's number.
 *
 * @module
 */

/** The era of a store that was never restored. */
export const FIRST_ERA = 1;

/** Number of changes in an era: at 3,200 writes a second, over ten years. The
 * store's numbers are lower. */
export const NUMBERS_PER_ERA = 2 ** 40;

/** Largest era whose revisions can be told apart. */
export const ERA_MAX = FIRST_ERA +
  Math.floor(Number.MAX_SAFE_INTEGER / NUMBERS_PER_ERA) - 1;

/** The revision of the change that the store numbered `number` in `era`.
 *
 * @example
 * ```ts
 * storeRevision(1, 250); // 250
 * storeRevision(2, 160) > storeRevision(1, 250); // true
 * ```
 */
export function storeRevision(era: number, number: number): number {
  return (era - FIRST_ERA) * NUMBERS_PER_ERA + number;
}

/** The era of a revision. */
export function eraOf(revision: number): number {
  return FIRST_ERA + Math.floor(revision / NUMBERS_PER_ERA);
}

/** The store's own number of a revision. */
export function numberOf(revision: number): number {
  return revision % NUMBERS_PER_ERA;
}
