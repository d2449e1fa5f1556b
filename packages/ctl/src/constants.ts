/** Times, sizes and exit codes of banyanctl.
 *
 * @module
 */

/** Time limit of a connection or an answer unless the settings name one. */
export const DEFAULT_TIMEOUT_MS = 30_000;

/** Time limit of one connection attempt while other servers are left. */
export const CONNECT_TIMEOUT_MS = 3_000;

/** Objects per call when many are looked up. */
export const LOOKUP_CHUNK_SIZE = 500;

/** Time between two pictures of the live view, in milliseconds. */
export const TOP_INTERVAL_MS = 1_000;

/** Pause after which long work shows its progress, in milliseconds. */
export const PROGRESS_INTERVAL_MS = 500;

/** Bytes of randomness in a new key. */
export const KEY_BYTES = 32;

/** Settings file that is read if it exists and no other is named. */
export const DEFAULT_SETTINGS_FILE = "banyanctl.jsonc";

/** Exit codes, explained in docs/CTL.md. */
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
