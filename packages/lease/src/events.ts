/** Log events 200 to 299: session leases.
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

/** The store did not answer a renewal, or throttled it. */
export const RENEWAL_UNCONFIRMED: LogEvent = {
  id: 201,
  severity: "warn",
  text:
    "store did not confirm the renewal; requesting promises from the successors",
};

/** Another process ended this session. */
export const SESSION_ENDED_BY_OTHER: LogEvent = {
  id: 202,
  severity: "error",
  text: "session was ended by another process; a new session is needed",
};

/** The holder ended its own session. */
export const SESSION_ENDED: LogEvent = {
  id: 203,
  severity: "info",
  text: "session ended",
};

/** A successor refused to promise that it would not take over. */
export const PROMISE_REFUSED: LogEvent = {
  id: 204,
  severity: "warn",
  text: "successor refused to extend the lease",
};

/** The lease expired: nothing may be done under it until the store confirms a
 * renewal. */
export const LEASE_EXPIRED: LogEvent = {
  id: 205,
  severity: "error",
  text:
    "lease expired; nothing may be done under it until the store confirms a renewal",
};

/** This process ended the session of another process. */
export const SESSION_TAKEN_OVER: LogEvent = {
  id: 210,
  severity: "warn",
  text: "ended a session that was no longer renewed",
};

/** The store did not confirm the write that ends another process's session. */
export const TAKE_OVER_IN_DOUBT: LogEvent = {
  id: 211,
  severity: "warn",
  text: "store did not confirm the take-over; reading the session back",
};

/** A take-over had no effect, because another write took effect first. */
export const TAKE_OVER_LOST: LogEvent = {
  id: 212,
  severity: "info",
  text: "take-over had no effect: another write took effect first",
};

/** A registered callback threw. */
export const LISTENER_FAILED: LogEvent = {
  id: 220,
  severity: "error",
  text: "a listener of the lease threw; please report this with the log",
};
