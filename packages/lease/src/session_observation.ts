/** A process's observation of another process's session, and the rule for
 * ending it.
 *
 * @module
 */
import type { Session, Versioned } from "@banyanlb/core";
import { RECOVERY_GRACE_RATIO } from "./constants.ts";
import { withDriftMargin } from "./drift.ts";

/** A version of a session's object and the time at which this process first
 * read it. */
export interface SessionObservation {
  readonly object: Versioned<Session>;
  /** Clock reading after the first read that returned this version. */
  readonly first_seen_at: number;
  /** Clock reading after the first successful read since the last failed read;
   * `Infinity` after a failed read. */
  readonly store_available_since: number;
}

/** This process's session id, and the longest validity of a lease without a
 * renewal. */
export interface TakeOverOptions {
  readonly self_id: string;
  readonly last_term_ms: number;
}

/** Returns the earliest clock reading at which this process may end the
 * session, not counting promises that it made. A successor that the session
 * names waits for one term without a renewal, any other process for the last
 * term. */
export function takeOverAt(
  observation: SessionObservation,
  options: TakeOverOptions,
): number {
  const { term_ms, successors } = observation.object.value;
  const is_named = successors.includes(options.self_id);
  const required_unchanged_ms = withDriftMargin(
    is_named ? term_ms : options.last_term_ms,
  );
  return Math.max(
    observation.first_seen_at + required_unchanged_ms,
    observation.store_available_since + term_ms * RECOVERY_GRACE_RATIO,
  );
}
