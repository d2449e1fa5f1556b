/** Grants permits and orders loads and evictions on the targets that an
 * instance owns.
 *
 * @module
 */
export type { ReleaseBatch } from "./codec.ts";
export {
  decodeAcquireRequest,
  decodeHandoff,
  decodeReleaseAck,
  decodeReleaseBatch,
  decodeReply,
  decodeReport,
  decodeReportRequest,
  encodeAcquireRequest,
  encodeHandoff,
  encodeReleaseAck,
  encodeReleaseBatch,
  encodeReply,
  encodeReport,
  encodeReportRequest,
} from "./codec.ts";
export { events as permit_events } from "./events.ts";
export type {
  WireAsk,
  WireHandoff,
  WireReleaseAck,
  WireReleaseBatch,
  WireReply,
  WireReport,
  WireReportAsk,
} from "./generated/permit_messages.ts";
export type { HoldOptions } from "./owned_target.ts";
export { OwnedTarget } from "./owned_target.ts";
export { OwnerTable } from "./owner_table.ts";
export type {
  AcquireOptions,
  EntryPermit,
  LedgerDeps,
  UseRefusal,
  UseResult,
} from "./permit_ledger.ts";
export { PermitLedger } from "./permit_ledger.ts";
export type { EvictionFacts } from "./safety_rules.ts";
export { SafetyRules } from "./safety_rules.ts";
export type { OwnerDeps } from "./target_state.ts";
export type {
  HeldPermit,
  LeaseView,
  LoadBudgetReply,
  PeerError,
  PermitAcquireRequest,
  PermitGranted,
  PermitRefusalKind,
  PermitRefused,
  PermitRelease,
  PermitReply,
  ReleaseOutcome,
  ReportRequest,
  TargetHandoff,
} from "./types.ts";
export { LoadBudget, PermitPeers, ReleaseSender } from "./types.ts";
