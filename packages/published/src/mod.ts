/** Published configuration: validated as a whole, versioned by generation, and
 * followed by every instance.
 *
 * @module
 */
export { checkChange, checkObject } from "./check.ts";
export { FRESH_LIMIT_MS, MAX_INLINE_BYTES } from "./constants.ts";
export type { Edits, PutEdit, RemoveEdit } from "./edits.ts";
export type {
  EditConflictError,
  NotPublishedError,
  ObjectConflict,
  OutcomeUnknownError,
  PublishError,
  RejectedError,
} from "./errors.ts";
export { ConfigFollower } from "./follower.ts";
export type {
  ConfigFollowerDeps,
  ConfigFollowerOptions,
  SnapshotListener,
} from "./follower_options.ts";
export {
  FreshnessGuard,
  type FreshnessGuardDeps,
  type FreshnessGuardOptions,
  type FreshnessReason,
  type FreshnessState,
} from "./freshness_guard.ts";
export { type FreshnessTimes, freshnessTimes } from "./freshness_times.ts";
export {
  config_messages_schema,
  type Evidence,
  type FetchReply,
  type FetchRequest,
} from "./generated/config_messages.ts";
export {
  CONFIG_KINDS,
  type ConfigKind,
  isConfigKind,
  type ObjectOfKind,
  type Reference,
  referencesOf,
} from "./kinds.ts";
export { ConfigPeers, type PeerError } from "./peers.ts";
export {
  type PublishedChange,
  Publisher,
  type PublisherDeps,
} from "./publisher.ts";
export { Snapshot } from "./snapshot.ts";
export type { Entry } from "./snapshot_edit.ts";
