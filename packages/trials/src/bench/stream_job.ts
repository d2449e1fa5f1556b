/** The job of a process that keeps streams open, and its report.
 *
 * @module
 */

/** The streams that a process keeps open. */
export interface StreamJob {
  readonly url: string;
  readonly key: string;
  readonly models: readonly string[];
  readonly streams: number;
  readonly max_tokens: number;
  /** Start and end of the time in which tokens are counted, in monotonic
   * milliseconds. */
  readonly from_mono_ms: number;
  readonly until_mono_ms: number;
}

/** Counts over all streams between `from_mono_ms` and `until_mono_ms`. */
export interface StreamReport {
  readonly tokens: number;
  readonly requests: number;
  readonly failed: number;
  /** Average number of open streams. */
  readonly open: number;
}
