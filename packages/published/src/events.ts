/** Log events of this package: 700 to 799.
 *
 * @module
 */
import type { LogEvent } from "@banyanlb/core";

/** A higher generation is now in force on this instance. */
export const GENERATION_IN_FORCE: LogEvent = {
  id: 700,
  severity: "info",
  text: "generation in force",
};

/** The store returned a generation below the one in force. */
export const MANIFEST_REVERTED: LogEvent = {
  id: 701,
  severity: "error",
  text:
    "rejected a manifest below the generation in force; restore the newest manifest",
};

/** The manifest or a part in the store is invalid. */
export const MANIFEST_UNUSABLE: LogEvent = {
  id: 702,
  severity: "error",
  text: "cannot use the published manifest; check the store's content",
};

/** The store stopped answering polls of the manifest. */
export const STORE_CONTACT_LOST: LogEvent = {
  id: 703,
  severity: "warn",
  text: "store does not answer polls of the manifest",
};

/** The store answers polls of the manifest again. */
export const STORE_CONTACT_RESTORED: LogEvent = {
  id: 704,
  severity: "info",
  text: "store answers polls of the manifest again",
};

/** A change was published from this instance. */
export const CHANGE_PUBLISHED: LogEvent = {
  id: 710,
  severity: "info",
  text: "change published",
};

/** Inline changes were compacted into parts. */
export const CHANGES_COMPACTED: LogEvent = {
  id: 711,
  severity: "info",
  text: "inline changes compacted into parts",
};

/** A compaction failed; a later publish starts another. */
export const COMPACTION_FAILED: LogEvent = {
  id: 712,
  severity: "warn",
  text: "inline changes not compacted; the next publish tries again",
};

/** A listener for new snapshots threw. */
export const LISTENER_FAILED: LogEvent = {
  id: 713,
  severity: "error",
  text: "listener for new snapshots failed; report this with the log",
};

/** The instance refuses requests because it lacks recent evidence. */
export const CONFIGURATION_STALE: LogEvent = {
  id: 720,
  severity: "error",
  text: "configuration may be stale, requests are refused; check the network",
};

/** The instance has recent evidence and serves again. */
export const CONFIGURATION_FRESH: LogEvent = {
  id: 721,
  severity: "info",
  text: "configuration is confirmed to be current again",
};
