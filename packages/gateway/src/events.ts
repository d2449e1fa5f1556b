/** Log events 800 to 899.
 *
 * @module
 */
import type { LogEvent } from "@banyanlb/core";

/** The process started, with its settings. */
export const STARTED: LogEvent = {
  id: 800,
  severity: "info",
  text: "gateway started",
};

/** SIGTERM came; requests are still served. */
export const STOPPING: LogEvent = {
  id: 801,
  severity: "info",
  text: "gateway is stopping",
};

/** The process ends. */
export const STOPPED: LogEvent = {
  id: 802,
  severity: "info",
  text: "gateway stopped",
};

/** SIGHUP came. */
export const SETTINGS_REREAD: LogEvent = {
  id: 803,
  severity: "info",
  text: "settings read again",
};

/** The settings file could not be read again; those before stay in force. */
export const SETTINGS_INVALID: LogEvent = {
  id: 804,
  severity: "error",
  text: "settings not read; those before stay in force",
};

/** An error reached the top of the process. */
export const UNEXPECTED_ERROR: LogEvent = {
  id: 805,
  severity: "error",
  text: "unexpected error",
};

/** The store stopped answering for a kind of records. */
export const STORE_UNAVAILABLE: LogEvent = {
  id: 810,
  severity: "warn",
  text: "store does not answer",
};

/** The store answers again. */
export const STORE_RECOVERED: LogEvent = {
  id: 811,
  severity: "info",
  text: "store answers again",
};

/** A newer configuration is in force. */
export const CONFIGURATION_APPLIED: LogEvent = {
  id: 812,
  severity: "info",
  text: "configuration in force",
};

/** An engine came, left, or changed its state. */
export const ENGINE_CHANGED: LogEvent = {
  id: 813,
  severity: "info",
  text: "engine changed",
};

/** An entry of the list names no usable engine. */
export const ENGINE_ENTRY_IGNORED: LogEvent = {
  id: 814,
  severity: "warn",
  text: "entry of the engine list ignored",
};

/** A newer version of an adapter was announced. */
export const VERSION_ANNOUNCED: LogEvent = {
  id: 815,
  severity: "info",
  text: "adapter version announced",
};

/** A peer knew more than the store had told; its records were taken. */
export const RECORDS_FETCHED_FROM_PEER: LogEvent = {
  id: 816,
  severity: "info",
  text: "records taken from a peer",
};

/** A peer became reachable. */
export const PEER_REACHABLE: LogEvent = {
  id: 820,
  severity: "info",
  text: "peer reachable",
};

/** A peer fell silent. */
export const PEER_UNRESPONSIVE: LogEvent = {
  id: 821,
  severity: "warn",
  text: "peer silent",
};

/** The entry of a member that renewed nothing for a term was removed. */
export const MEMBER_REMOVED: LogEvent = {
  id: 822,
  severity: "warn",
  text: "entry of a lost member removed",
};

/** Renewing this instance's own entry failed. */
export const RENEWAL_FAILED: LogEvent = {
  id: 823,
  severity: "warn",
  text: "entry not renewed; orders stop when the term ends",
};

/** Engines have been given to owners. */
export const ASSIGNMENT_WRITTEN: LogEvent = {
  id: 824,
  severity: "info",
  text: "assignment of engines written",
};

/** This instance began or ceased to order at an engine. */
export const OWNERSHIP_CHANGED: LogEvent = {
  id: 825,
  severity: "info",
  text: "ownership of an engine changed",
};

/** A peer's message could not be read; its connection is dialled again. */
export const PEER_MESSAGE_INVALID: LogEvent = {
  id: 826,
  severity: "error",
  text: "message of a peer not taken in",
};

/** Members or the assignment could not be looked after; tried again soon. */
export const MEMBERSHIP_CHECK_FAILED: LogEvent = {
  id: 827,
  severity: "warn",
  text: "members and assignment not checked",
};

/** An order was sent and answered. */
export const ORDER_ANSWERED: LogEvent = {
  id: 830,
  severity: "info",
  text: "engine ordered",
};

/** An engine refused an order or did not answer. */
export const ORDER_FAILED: LogEvent = {
  id: 831,
  severity: "warn",
  text: "order not accepted",
};

/** A request was answered with an engine's answer. */
export const REQUEST_SERVED: LogEvent = {
  id: 840,
  severity: "info",
  text: "request served",
};

/** A request was refused: it did not run. */
export const REQUEST_REFUSED: LogEvent = {
  id: 841,
  severity: "warn",
  text: "request refused",
};

/** A request failed after it may have run. */
export const REQUEST_FAILED: LogEvent = {
  id: 842,
  severity: "warn",
  text: "request failed",
};

/** One attempt at an engine ended without an answer to pass on. */
export const ATTEMPT_FAILED: LogEvent = {
  id: 843,
  severity: "warn",
  text: "attempt failed",
};

/** The caller left before its answer was complete. */
export const CALLER_DISCONNECTED: LogEvent = {
  id: 844,
  severity: "info",
  text: "caller left",
};

/** A workspace has no units left for a request. */
export const RATE_EXCEEDED: LogEvent = {
  id: 845,
  severity: "info",
  text: "workspace over its rate",
};
