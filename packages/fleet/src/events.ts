/** Log events 300 to 399: the fleet.
 *
 * @module
 */
import type { LogEvent } from "@banyanlb/core";

/** This process created the fleet object. */
export const FLEET_CREATED: LogEvent = {
  id: 300,
  severity: "info",
  text: "fleet object created",
};

/** This process joined the fleet. */
export const FLEET_JOINED: LogEvent = {
  id: 301,
  severity: "info",
  text: "joined the fleet",
};

/** The members or slots changed. */
export const FLEET_CHANGED: LogEvent = {
  id: 302,
  severity: "debug",
  text: "fleet changed",
};

/** An ended member was removed and its slots were reassigned. */
export const MEMBER_REMOVED: LogEvent = {
  id: 303,
  severity: "warn",
  text: "ended member removed; its slots were reassigned",
};

/** This process handed over slots that it held. */
export const SLOTS_MOVED: LogEvent = {
  id: 304,
  severity: "info",
  text: "slots handed over",
};

/** The store did not confirm a hand-over of slots. */
export const MOVE_IN_DOUBT: LogEvent = {
  id: 305,
  severity: "warn",
  text:
    "store did not confirm the hand-over of slots; they stay unused until it is resolved",
};

/** The outcome of an unconfirmed hand-over became certain. */
export const MOVE_RESOLVED: LogEvent = {
  id: 306,
  severity: "info",
  text: "hand-over of slots resolved",
};

/** This process left the fleet. */
export const FLEET_LEFT: LogEvent = {
  id: 307,
  severity: "info",
  text: "left the fleet",
};

/** The long poll failed; the last fleet that was read stays in use. */
export const FLEET_WATCH_FAILED: LogEvent = {
  id: 308,
  severity: "warn",
  text: "fleet watch failed; the last fleet that was read stays in use",
};

/** The fleet object was removed from the store by hand. */
export const FLEET_MISSING: LogEvent = {
  id: 309,
  severity: "error",
  text: "fleet object is missing; restart every instance to create it",
};

/** A registered listener threw. */
export const LISTENER_FAILED: LogEvent = {
  id: 310,
  severity: "error",
  text: "a listener of the fleet threw; please report this with the log",
};
