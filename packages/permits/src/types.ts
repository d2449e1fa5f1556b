/** Messages about permits, and the interfaces through which owners and entry
 * instances use other parts of the system.
 *
 * @module
 */
import type { LoadHint, RequestClass } from "@banyanlb/core";
import type { ResultAsync } from "neverthrow";

/** How a request with a permit ended. `done`: it completed. `canceled` and
 * `failed`: the target may still be running it. `not_loaded`: the target did
 * not have the version loaded. `unused`: the request was never sent. */
export type ReleaseOutcome =
  | "done"
  | "canceled"
  | "failed"
  | "not_loaded"
  | "unused";

/** Returns a permit, or withdraws a request for one. */
export interface PermitRelease {
  /** Id of the permit request. */
  readonly id: string;
  readonly target: string;
  readonly outcome: ReleaseOutcome;
  /** Tokens that the request used, if known. */
  readonly tokens?: number;
}

/** Requests a permit from the target's owner. The session and the id of this
 * request identify the permit. */
export interface PermitAcquireRequest {
  /** Unique within the entry's session. */
  readonly id: string;
  /** Session id of the entry. */
  readonly session: string;
  readonly target: string;
  /** `ADAPTER@VERSION`; `undefined` for a plain service. */
  readonly version?: string | undefined;
  readonly workspace: string;
  /** Weight of the workspace. Default 1. */
  readonly weight?: number;
  readonly class: RequestClass;
  /** Prompt tokens plus the greatest number of output tokens. */
  readonly tokens: number;
  /** Milliseconds until the request's deadline. */
  readonly deadline_ms: number;
  /** Longest wait in the queue, in milliseconds. Default: the deadline. */
  readonly wait_ms?: number;
  /** Highest ownership epoch of the target that the entry has seen. */
  readonly epoch?: number;
  /** Releases that are sent to the same owner with this request. */
  readonly releases?: readonly PermitRelease[];
}

/** A granted permit. Both times count from the sending of the permit
 * request. */
export interface PermitGranted {
  readonly kind: "granted";
  readonly permit_id: string;
  readonly epoch: number;
  /** The request must end within this time. */
  readonly deadline_ms: number;
  /** The request must be sent within this time or not at all. */
  readonly use_within_ms: number;
  readonly hint?: LoadHint;
  /** Ids of piggybacked releases that the owner did not process. The entry
   * must send them again. */
  readonly untaken?: readonly string[];
}

/** Why a permit was refused. */
export type PermitRefusalKind =
  | "busy"
  | "not_owner"
  | "leaving"
  | "load_failed"
  | "unavailable";

/** A refused permit. The request did not run. */
export interface PermitRefused {
  readonly kind: PermitRefusalKind;
  readonly retry_after_ms: number;
  readonly epoch?: number;
  readonly hint?: LoadHint;
  /** Ids of piggybacked releases that the owner did not process. The entry
   * must send them again. */
  readonly untaken?: readonly string[];
}

/** The owner's reply to a permit request. */
export type PermitReply = PermitGranted | PermitRefused;

/** A permit in an entry's report or in a handoff between owners. */
export interface HeldPermit {
  readonly id: string;
  readonly session: string;
  readonly version: string | undefined;
  readonly workspace: string;
  readonly tokens: number;
  /** Milliseconds that remain until the request's deadline. */
  readonly remaining_ms: number;
}

/** A new owner's request to an entry for its permits of a target. */
export interface ReportRequest {
  readonly target: string;
  /** Epoch of the new owner. */
  readonly epoch: number;
}

/** State of a target that a leaving owner passes to the next owner. */
export interface TargetHandoff {
  readonly target: string;
  readonly epoch: number;
  readonly permits: readonly HeldPermit[];
  /** Versions that are loaded and on which every running request has a
   * permit. */
  readonly loaded: readonly string[];
  /** Versions that may be loaded, or that may run requests without a permit. */
  readonly versions_in_doubt: readonly string[];
  /** Sessions that have not yet reported their permits of former owners. */
  readonly unreported_sessions: readonly string[];
}

/** A peer did not reply. */
export interface PeerError {
  readonly kind: "unreachable";
  readonly message: string;
}

/** The owner's lease. */
export interface LeaseView {
  /** Milliseconds until the lease expires; at most 0 once it has expired. */
  remaining(): number;
}

/** Reply of the fleet-wide load budget. */
export interface LoadBudgetReply {
  readonly granted: boolean;
  /** Milliseconds after which to try again. */
  readonly retry_after_ms: number;
}

/** Limits the fleet-wide rate of adapter loads from the weight store. */
export abstract class LoadBudget {
  /** Takes one load from the budget. A low-priority load does not take the
   * last part of the budget, which is left to other loads. */
  abstract acquire(
    signal: AbortSignal,
    options?: { readonly is_low_priority?: boolean },
  ): Promise<LoadBudgetReply>;

  /** Returns one load to the budget because it was not ordered. */
  abstract refund(): void;
}

/** Calls from an owner to entries. */
export abstract class PermitPeers {
  /** Requests a member's permits of a target. */
  abstract report(
    member_id: string,
    request: ReportRequest,
  ): ResultAsync<readonly HeldPermit[], PeerError>;
}

/** Sends an entry's releases to owners. */
export abstract class ReleaseSender {
  /** Sends releases of `target` to its current owner. Returns the ids of the
   * releases that the owner did not process. */
  abstract send(
    target: string,
    releases: readonly PermitRelease[],
  ): ResultAsync<readonly string[], PeerError>;
}
