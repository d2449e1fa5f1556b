/** Rate and burst limits that are shared by the instances of a fleet.
 *
 * @module
 */
export {
  PEER_TIMEOUT_MS,
  RESERVATION_VALIDITY_MS,
  SETTLE_INTERVAL_MS,
} from "./constants.ts";
export * from "./events.ts";
export type {
  ReserveAsk,
  ReserveReply,
  SettleBatch,
  Settlement,
  ShareLevel as ShareLevelMessage,
  SlotLevels,
} from "./generated/rate_messages.ts";
export type { ShareHolder, ShareView } from "./holdings.ts";
export { type RateWorkspace, type ShareLimits, shareLimits } from "./limits.ts";
export * from "./messages.ts";
export {
  type AcquireRequest,
  RateClient,
  type RateClientDeps,
} from "./rate_client.ts";
export { type RatePeerError, RatePeers } from "./rate_peers.ts";
export type {
  OverBurstRefusal,
  RateLimitedRefusal,
  RateRefusal,
  UnreachableRefusal,
} from "./rate_refusal.ts";
export { Reservation } from "./rate_reservation.ts";
export {
  type HoldOptions,
  type RateLease,
  RateShares,
  type RateSharesDeps,
} from "./rate_shares.ts";
export {
  ShareBucket,
  type ShareLevel,
  type ShareReservation,
} from "./share_bucket.ts";
