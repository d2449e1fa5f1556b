/** Waiting that `close` may cut short.
 *
 * @module
 */
import type { Clock } from "@banyanlb/core";

/** Waits for `ms`. False if the signal was aborted. */
export async function sleepUnlessAborted(
  clock: Clock,
  ms: number,
  signal: AbortSignal | undefined,
): Promise<boolean> {
  try {
    await clock.sleep(ms, signal);
  } catch {
    // Aborted: told by the result.
  }
  return signal?.aborted !== true;
}
