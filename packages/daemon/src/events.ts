/** Log events of the daemon, 100 to 199. docs/EVENTS.md explains each.
 *
 * @module
 */
import type { LogEvent } from "@banyanlb/core";

/** The daemon is listening and has joined the fleet. */
export const STARTED: LogEvent = {
  id: 100,
  severity: "info",
  text: "instance started",
};

/** A graceful shutdown began. */
export const STOPPING: LogEvent = {
  id: 101,
  severity: "info",
  text: "instance is shutting down: no new requests, slots are handed over",
};

/** The graceful shutdown is complete: every request has finished and every slot
 * is handed over. */
export const STOPPED: LogEvent = {
  id: 102,
  severity: "info",
  text: "instance stopped",
};

/** A successor took over the session of this instance; the instance joins the
 * fleet with a new session. */
export const SESSION_LOST: LogEvent = {
  id: 103,
  severity: "error",
  text: "session was ended by a successor; joining with a new session",
};

/** A request was refused. */
export const REFUSED: LogEvent = {
  id: 110,
  severity: "debug",
  text: "request refused",
};

/** A request failed for a reason that no refusal kind covers. */
export const REQUEST_FAILED: LogEvent = {
  id: 111,
  severity: "error",
  text: "request failed unexpectedly; please report this with the log",
};

/** A target's response was incomplete, invalid or too large. */
export const ANSWER_INCOMPLETE: LogEvent = {
  id: 112,
  severity: "warn",
  text: "target response is incomplete or invalid; check the target's log",
};

/** A target's response carried the id of another request, or its stream mixed
 * events of two responses. */
export const ANSWER_CROSSED: LogEvent = {
  id: 113,
  severity: "error",
  text: "target response belongs to another request; connection closed",
};

/** Waiting and running requests of a withdrawn key were ended. */
export const KEY_REQUESTS_ENDED: LogEvent = {
  id: 114,
  severity: "info",
  text: "requests of a withdrawn key ended",
};

/** Waiting and running requests with a key were ended because this instance
 * could no longer verify that their keys are valid. */
export const STALE_REQUESTS_ENDED: LogEvent = {
  id: 115,
  severity: "warn",
  text: "requests with a key ended; check the links to the store and peers",
};

/** The move of a slot to another member was written to the fleet table. */
export const SLOT_MOVED: LogEvent = {
  id: 120,
  severity: "info",
  text: "slot moved to another member",
};

/** The move of a slot failed: the slot stays here, or the outcome of the write
 * is unknown. */
export const SLOT_MOVE_FAILED: LogEvent = {
  id: 121,
  severity: "warn",
  text: "slot could not be moved; retrying",
};

/** A peer sent a message that does not match its schema. */
export const PEER_MESSAGE_REJECTED: LogEvent = {
  id: 130,
  severity: "warn",
  text: "peer message does not match its schema; check the peer's version",
};
