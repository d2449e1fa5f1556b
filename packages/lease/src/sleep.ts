/** Sleep that ends early on an abort signal.
 *
 * @module
 */
import type { Clock } from "@banyanlb/core";

/** Waits for `ms` milliseconds or until the signal is aborted. Returns false if
 * it was aborted. */
export async function sleepUnlessAborted(
  clock: Clock,
  ms: number,
  signal: AbortSignal | undefined,
): Promise<boolean> {
  try {
    await clock.sleep(ms, signal);
  } catch {
    // Aborted: the return value reports it.
  }
  return signal?.aborted !== true;
}
