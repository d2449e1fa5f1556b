/** Permits: asks, replies, releases and reports, with the interfaces that an
 * owner needs from its surroundings.
 *
 * @module
 */
import type { LoadHint, RequestClass } from "@banyanlb/core";
import type { ResultAsync } from "neverthrow";

/** How a request with a permit ended. `canceled` and `failed`: the target may
 * still run it. `not_loaded`: the target did not know the version. `unused`:
 * it was never sent. */
export type ReleaseOutcome =
  | "done"
  | "canceled"
  | "failed"
  | "not_loaded"
  | "unused";

/** Returns a permit, or withdraws an ask. */
export interface PermitRelease {
  /** Id of the ask. */
  readonly id: string;
  readonly target: string;
  readonly outcome: ReleaseOutcome;
  /** Tokens that the request used, where known. */
  readonly tokens?: number;
}

/** Asks for a permit. A permit is known by its ask's session and id. */
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
  /** Prompt and greatest output together. */
  readonly tokens: number;
  /** Milliseconds that remain to the request. */
  readonly deadline_ms: number;
  /** Longest wait in the queue, in milliseconds. Default: the deadline. */
  readonly wait_ms?: number;
  /** Highest epoch of the target that the entry knows. */
  readonly epoch?: number;
  /** Releases for the same owner. */
  readonly releases?: readonly PermitRelease[];
}

/** A grant. Both times count from when the ask was sent. */
export interface PermitGranted {
  readonly kind: "granted";
  readonly permit_id: string;
  readonly epoch: number;
  /** The request ends within this time. */
  readonly deadline_ms: number;
  /** The request is sent within this time or not at all. */
  readonly use_within_ms: number;
  readonly hint?: LoadHint;
  /** Piggybacked releases that the owner did not take. */
  readonly untaken?: readonly string[];
}

/** Why a permit was refused. */
export type PermitRefusalKind =
  | "busy"
  | "not_owner"
  | "leaving"
  | "load_failed"
  | "unavailable";

/** A refusal. Nothing ran. */
export interface PermitRefused {
  readonly kind: PermitRefusalKind;
  readonly retry_after_ms: number;
  readonly epoch?: number;
  readonly hint?: LoadHint;
  /** Piggybacked releases that the owner did not take. */
  readonly untaken?: readonly string[];
}

/** Answer to an ask. */
export type PermitReply = PermitGranted | PermitRefused;

/** A permit as it is reported or handed off. */
export interface HeldPermit {
  readonly id: string;
  readonly session: string;
  readonly version: string | undefined;
  readonly workspace: string;
  readonly tokens: number;
  /** Milliseconds that remain until the request's deadline. */
  readonly remaining_ms: number;
}

/** A new owner's question to an entry. */
export interface ReportRequest {
  readonly target: string;
  /** Epoch of the new owner. */
  readonly epoch: number;
}

/** What a leaving owner knows of a target. */
export interface TargetHandoff {
  readonly target: string;
  readonly epoch: number;
  readonly permits: readonly HeldPermit[];
  /** Versions known to be loaded and not in doubt. */
  readonly loaded: readonly string[];
  /** Versions whose state or use is in doubt. */
  readonly versions_in_doubt: readonly string[];
  /** Sessions whose report was still outstanding. */
  readonly unreported_sessions: readonly string[];
}

/** A peer did not answer. */
export interface PeerError {
  readonly kind: "unreachable";
  readonly message: string;
}

/** The owner's lease. */
export interface LeaseView {
  /** Milliseconds that remain; at most 0 once it lapsed. */
  remaining(): number;
}

/** Answer of the fleet-wide budget of loads. */
export interface LoadBudgetReply {
  readonly granted: boolean;
  /** Milliseconds after which to ask again. */
  readonly retry_after_ms: number;
}

/** The fleet-wide rate of loads from the weight store. */
export abstract class LoadBudget {
  /** Takes one load. One that yields leaves the last loads to others. */
  abstract acquire(
    signal: AbortSignal,
    options?: { readonly is_low_priority?: boolean },
  ): Promise<LoadBudgetReply>;

  /** Returns a load that was not ordered. */
  abstract refund(): void;
}

/** The owner's calls to entries. */
export abstract class PermitPeers {
  /** Asks a member for its permits of a target. */
  abstract report(
    member_id: string,
    request: ReportRequest,
  ): ResultAsync<readonly HeldPermit[], PeerError>;
}

/** The entry's calls to owners, for releases only. */
export abstract class ReleaseSender {
  /** Sends releases to the present owner of `target`, all of one target.
   * Yields the ids that the owner did not take. */
  abstract send(
    target: string,
    releases: readonly PermitRelease[],
  ): ResultAsync<readonly string[], PeerError>;
}
