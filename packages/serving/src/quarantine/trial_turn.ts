/** When a held suspect is tried again, and by which instance.
 *
 * @module
 */
import { fingerprintOfText } from "../fingerprint.ts";
import type { ServingInstances } from "../member_table.ts";

/** Time from the beginning of a hold to the first trial, in milliseconds. */
export const FIRST_TRIAL_MS = 20_000;

/** The same for a hold whose crashes another suspect explains as well, so that the
 * held one may be sound. */
const FIRST_SHARED_TRIAL_MS = 2000;

/** Factor by which the time to the next trial grows with each trial. */
const TRIAL_BACKOFF = 4;

/** Maximum number of trials of one hold, of all instances together. */
export const TRIALS_MAX = 2;

/** How long one instance may start the trial that is due before the next one
 * may, in milliseconds, and the time at the end of a turn in which none starts,
 * since the instances' views of time differ by a digest's delay. */
const TURN_MS = 5000;
const GUARD_MS = 1500;

/** Maximum number of engines that a suspect may end, its trials among them. */
const CRASHES_MAX = 6;

/** The trials that a suspect has used up when it is held after `crashes`. */
export function trialsUsedBy(crashes: number): number {
  return Math.min(TRIALS_MAX, Math.max(0, TRIALS_MAX + crashes - CRASHES_MAX));
}

/** When a suspect is tried next after so many trials; Infinity if no more.
 * `isShared` tells whether another suspect explains its crashes as well. */
export function nextTrialAt(
  trials: number,
  now: number,
  { isShared = false } = {},
): number {
  if (trials >= TRIALS_MAX) return Infinity;
  return now +
    (isShared && trials === 0
      ? FIRST_SHARED_TRIAL_MS
      : FIRST_TRIAL_MS * TRIAL_BACKOFF ** trials);
}

/** Whether an instance may start the trial of a suspect that has been due for
 * `dueMs`. The instances take turns, so that the trial does not depend on one of
 * them being asked for the suspect. One that may be cut off has none.
 *
 * @example
 * ```ts
 * const instances = { names: ["i1", "i2"], isCutOff: false };
 * hasTrialTurn("i1", instances, { suspect: "5c1e", dueMs: 300 });
 * ```
 */
export function hasTrialTurn(
  self: string,
  { names, isCutOff }: ServingInstances,
  trial: { readonly suspect: string; readonly dueMs: number },
): boolean {
  const { suspect, dueMs } = trial;
  if (isCutOff || dueMs % TURN_MS > TURN_MS - GUARD_MS) return false;
  const position = fingerprintOfText(suspect) + Math.floor(dueMs / TURN_MS);
  return [...names].sort()[position % names.length] === self;
}
