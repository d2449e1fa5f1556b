/** The job of a process of callers, and its report.
 *
 * @module
 */
import type { Arrival } from "./workload.ts";

/** The requests that the callers of one region send. */
export interface LoadJob {
  readonly seeds: readonly string[];
  readonly region: string;
  readonly local_address: string;
  readonly seed: number;
  /** Monotonic milliseconds at which the run starts. */
  readonly start_mono_ms: number;
  readonly arrivals: readonly Arrival[];
  /** API keys in plain text, by workspace. */
  readonly keys: Readonly<Record<string, string>>;
  readonly timeout_ms: number;
  /** URL of the instance that gets every request; by default the caller picks
   * one of the steering addresses. */
  readonly only_url?: string;
  /** True to repeat a request at another instance if it certainly did not
   * run. */
  readonly repeats: boolean;
}

/** The outcome of one request for its caller. */
export interface LoadResult {
  readonly id: number;
  /** Monotonic milliseconds at which the request was sent. */
  readonly sent_mono_ms: number;
  /** Milliseconds between its planned time and the time it was sent. */
  readonly lag_ms: number;
  /** HTTP status; 0 if the request failed without a response. */
  readonly status: number;
  /** True if the response was complete. */
  readonly whole: boolean;
  readonly error_type: string | undefined;
  readonly request_id: string;
  readonly instance: string;
  readonly first_token_ms: number;
  readonly total_ms: number;
  /** Milliseconds between successive chunks of tokens. */
  readonly gaps_ms: readonly number[];
  readonly tokens: number;
}

/** The report of a process of callers. */
export interface LoadReport {
  readonly results: readonly LoadResult[];
  /** Share of one core that the process used. */
  readonly cpu_share: number;
}
