/** Time limits, sizes and exit codes of banyanctl.
 *
 * @module
 */

/** Default time limit for a connection or a response. */
export const DEFAULT_TIMEOUT_MS = 30_000;

/** Maximum time of one connection attempt, so that an unresponsive server
 * delays the attempt at the next server only briefly. */
export const CONNECT_TIMEOUT_MS = 3_000;

/** Maximum number of objects per lookup call. */
export const LOOKUP_CHUNK_SIZE = 500;

/** Time between two refreshes of `top`. */
export const TOP_INTERVAL_MS = 1_000;

/** Minimum time between two progress lines, and before the first. */
export const PROGRESS_INTERVAL_MS = 500;

/** Number of random bytes in a new key. */
export const KEY_BYTES = 32;

/** Settings file that is read if it exists and `--settings` is not given. */
export const DEFAULT_SETTINGS_FILE = "banyanctl.jsonc";

/** Exit codes; docs/CTL.md explains them. */
export const EXIT = {
  ok: 0,
  usage: 1,
  invalid: 2,
  unreachable: 3,
  conflict: 4,
  outcome_unknown: 5,
  refused: 6,
  not_found: 7,
  differs: 8,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];
