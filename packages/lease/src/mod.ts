/** Leases confirmed by successors.
 *
 * @module
 */
export {
  chooseAllSuccessors,
  chooseSuccessors,
  chooseWatchedSessions,
} from "./choose_successors.ts";
export { withDriftMargin } from "./drift.ts";
export * as lease_events from "./events.ts";
export {
  lease_messages_schema,
  type LeaseMessages,
  type PromiseAsk,
  type PromiseReply,
} from "./generated/lease_messages.ts";
export { LeasePeers, type PeerError } from "./lease_peers.ts";
export { type EndOptions, SessionLease } from "./session_lease.ts";
export type { LeaseDeps, LeaseError, LeaseOptions } from "./session_start.ts";
export {
  SuccessorWatch,
  type WatchDeps,
  type WatchOptions,
} from "./successor_watch.ts";
export {
  type RetireDeps,
  type RetireError,
  retireSession,
} from "./retire_session.ts";
