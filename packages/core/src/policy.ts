/** Interfaces of the policies that choose targets and order queues.
 *
 * @module
 */
import type { Target } from "./generated/stored.ts";

/** Queue class of a request. */
export type RequestClass = "interactive" | "batch";

/** Load of a target at the time of its owner's reply. */
export interface LoadHint {
  /** Number of requests that hold a permit. */
  readonly running: number;
  /** Number of requests that the target can run concurrently. */
  readonly max_running: number;
  /** Number of requests that wait for a permit. */
  readonly waiting: number;
  /** True if the requested version was loaded. */
  readonly loaded: boolean;
  /** True if a version could be loaded without evicting an adapter in use. */
  readonly has_available_slot: boolean;
}

/** The properties of a request on which the choice of a target depends. */
export interface TargetRequest {
  /** `ADAPTER@VERSION`; `undefined` for a service without adapters. */
  readonly version: string | undefined;
  readonly workspace: string;
  readonly class: RequestClass;
  /** Prompt tokens plus the maximum number of output tokens. */
  readonly tokens: number;
  /** Hash of the prompt's prefix, if available. */
  readonly prefix_hash?: string;
}

/** The progress of a request at a target.
 *
 * - `sent`: a permit was requested from the target's owner.
 * - `granted`, `busy`, `unavailable`: the owner's reply.
 * - `done`, `failed`: the request has ended or, if it got no permit, the permit
 *   request has. */
export interface TargetFeedback {
  readonly kind:
    | "sent"
    | "granted"
    | "busy"
    | "unavailable"
    | "done"
    | "failed";
  readonly target: string;
  readonly version?: string | undefined;
  readonly prefix_hash?: string;
  /** Load of the target, if the owner's reply contained it. */
  readonly hint?: LoadHint;
}

/** Ranks the targets for the requests of one entry instance. */
export abstract class TargetPolicy {
  /** Returns the targets that can serve the request, best first. After `busy`
   * or `unavailable` the request moves on to the next one. */
  abstract rank(
    request: TargetRequest,
    targets: readonly Target[],
  ): readonly Target[];

  /** Records the progress of a request. */
  abstract recordFeedback(feedback: TargetFeedback): void;
}

/** A request that waits for a permit. */
export interface QueuedRequest {
  /** Unique within the queue. */
  readonly id: string;
  /** `ADAPTER@VERSION`; `undefined` for a service without adapters. */
  readonly version: string | undefined;
  readonly workspace: string;
  /** Weight of the workspace in fair queueing, relative to other workspaces. */
  readonly weight: number;
  readonly class: RequestClass;
  /** Prompt tokens plus the maximum number of output tokens. */
  readonly tokens: number;
  /** Arrival, in milliseconds of the monotonic clock. */
  readonly queued_at: number;
}

/** Restricts which request is chosen from the queue. */
export interface QueueView {
  /** Milliseconds of the monotonic clock. */
  readonly now: number;
  /** Returns true for requests that can be served now. */
  readonly accepts: (request: QueuedRequest) => boolean;
}

/** A correction of the tokens charged to a workspace. */
export interface TokenCharge {
  readonly workspace: string;
  readonly class: RequestClass;
  readonly tokens: number;
}

/** The bounded queue of requests that wait for a permit of one target. */
export abstract class PermitQueue {
  /** Number of waiting requests. */
  abstract get size(): number;

  /** Adds a request. Returns false if the queue has no space for it. */
  abstract add(request: QueuedRequest): boolean;

  /** Removes a request that no longer waits, e.g. because its caller is gone.
   * Returns false if the queue does not contain it. */
  abstract remove(id: string): boolean;

  /** Returns the next request that `view` accepts, without removing it. */
  abstract peek(view: QueueView): QueuedRequest | undefined;

  /** Removes and returns the next request that `view` accepts, and charges its
   * tokens to its workspace. */
  abstract take(view: QueueView): QueuedRequest | undefined;

  /** Corrects the charge of a request that used more or fewer tokens than it
   * declared. `charge.tokens` is negative for a credit. */
  abstract settle(charge: TokenCharge): void;
}
