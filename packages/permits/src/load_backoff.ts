/** Exponential back-off after failed loads of a version.
 *
 * @module
 */
import {
  INITIAL_LOAD_BACKOFF_MS,
  MAX_LOAD_ATTEMPTS,
  MAX_LOAD_BACKOFF_MS,
} from "./constants.ts";

interface FailedLoad {
  readonly attempts: number;
  readonly retry_at: number;
}

/** Failed loads by version. A successful load clears the version's failures. */
export class LoadBackoff {
  readonly #failed_loads = new Map<string, FailedLoad>();

  /** Records a failed load. */
  recordFailure(version: string, now: number): void {
    const attempts = (this.#failed_loads.get(version)?.attempts ?? 0) + 1;
    const delay_ms = Math.min(
      INITIAL_LOAD_BACKOFF_MS * 2 ** (attempts - 1),
      MAX_LOAD_BACKOFF_MS,
    );
    this.#failed_loads.set(version, { attempts, retry_at: now + delay_ms });
  }

  /** Records a successful load. */
  recordSuccess(version: string): void {
    this.#failed_loads.delete(version);
  }

  /** Milliseconds until the next attempt; at most 0 if it may start now. */
  delayMs(version: string, now: number): number {
    return (this.#failed_loads.get(version)?.retry_at ?? now) - now;
  }

  /** True if permit requests for the version are refused until its next load
   * attempt. */
  isRefusing(version: string, now: number): boolean {
    const failed = this.#failed_loads.get(version);
    return failed !== undefined && failed.attempts >= MAX_LOAD_ATTEMPTS &&
      failed.retry_at > now;
  }
}
