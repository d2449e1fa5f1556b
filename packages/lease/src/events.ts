/** Log events 200 to 299.
 *
 * @module
 */
import type { LogEvent } from "@banyanlb/core";

/** The session's object was created. */
export const SESSION_STARTED: LogEvent = {
  id: 200,
  severity: "info",
  text: "session started",
};

/** A renewal got no answer or was throttled. */
export const RENEWAL_UNCONFIRMED: LogEvent = {
  id: 201,
  severity: "warn",
  text: "store did not confirm the renewal; asking the successors",
};

/** Another process ended this session. */
export const SESSION_ENDED_BY_OTHER: LogEvent = {
  id: 202,
  severity: "error",
  text: "session was ended by another; a new session is needed",
};

/** The holder ended its own session. */
export const SESSION_ENDED: LogEvent = {
  id: 203,
  severity: "info",
  text: "session ended",
};

/** A successor refused to promise. */
export const PROMISE_REFUSED: LogEvent = {
  id: 204,
  severity: "warn",
  text: "successor refused to extend the lease",
};

/** The lease lapsed: nothing may be done under it until a renewal. */
export const LEASE_EXPIRED: LogEvent = {
  id: 205,
  severity: "error",
  text: "lease lapsed; no act is allowed until the store confirms a renewal",
};

/** This process ended another's session. */
export const SESSION_TAKEN_OVER: LogEvent = {
  id: 210,
  severity: "warn",
  text: "ended a session that was no longer renewed",
};

/** The write that ends a session got no answer. */
export const TAKE_OVER_IN_DOUBT: LogEvent = {
  id: 211,
  severity: "warn",
  text: "take-over got no answer; reading the session back",
};

/** A take-over lost against another write. */
export const TAKE_OVER_LOST: LogEvent = {
  id: 212,
  severity: "info",
  text: "take-over lost against another write",
};

/** A listener of the lease threw. */
export const LISTENER_FAILED: LogEvent = {
  id: 220,
  severity: "error",
  text: "a listener of the lease threw; please report this with the log",
};
