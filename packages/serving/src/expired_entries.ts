/** Decides whether an entry that disappeared from the engine list may return.
 *
 * @module
 */

/** Entries that expired during a store outage return within this time after the
 * store's recovery, in milliseconds; an entry that does not return is gone. */
const RETURN_WITHIN_MS = 2100;

/** Until when an engine whose entry disappeared at `now` is kept; undefined if
 * it is removed at once. `storeTransitionAt` is when the store last failed or
 * recovered.
 *
 * @example
 * ```ts
 * keepExpiredUntil({
 *   leaving: false,
 *   storeTransitionAt: 1000,
 *   now: 1500,
 * }); // 3100
 * ```
 */
export function keepExpiredUntil(
  entry: {
    readonly leaving: boolean;
    readonly storeTransitionAt: number;
    readonly now: number;
  },
): number | undefined {
  const until = entry.storeTransitionAt + RETURN_WITHIN_MS;
  return !entry.leaving && entry.now < until ? until : undefined;
}
