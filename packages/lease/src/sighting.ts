/** What a successor knows of one session.
 *
 * @module
 */
import type { Session, Versioned } from "@banyanlb/core";
import { RECOVERY_GRACE_RATIO } from "./constants.ts";
import { withDriftMargin } from "./drift.ts";

/** A version of a session and when this process first saw it. */
export interface SessionObservation {
  readonly object: Versioned<Session>;
  /** Clock reading after the first read that showed the version. */
  readonly first_seen_at: number;
  /** Clock reading after the first read that succeeded since the last read
   * without an answer. */
  readonly store_available_since: number;
}

/** The rule by which a session may be ended. */
export interface TakeOverOptions {
  readonly self_id: string;
  readonly last_term_ms: number;
}

/** Earliest clock reading at which the session may be ended, promises aside.
 * A named successor waits for one term, anyone else for the last term. */
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
