/** Policy under load: the choice of a target and the order of a queue.
 *
 * @module
 */
import type { Target } from "./generated/stored.ts";

/** Queue class of a request. */
export type RequestClass = "interactive" | "batch";

/** How loaded a target was when its owner answered. */
export interface LoadHint {
  /** Requests with a permit. */
  readonly running: number;
  /** Requests that the target runs at once. */
  readonly max_running: number;
  /** Requests that wait for a permit. */
  readonly waiting: number;
  /** True if the version asked for was loaded. */
  readonly loaded: boolean;
  /** True if a load would need no eviction of an adapter in use. */
  readonly has_room: boolean;
}

/** The traits of a request that the choice of a target depends on. */
export interface TargetRequest {
  /** `ADAPTER@VERSION`; `undefined` for a plain service. */
  readonly version: string | undefined;
  readonly workspace: string;
  readonly class: RequestClass;
  /** Prompt and greatest output together. */
  readonly tokens: number;
  /** Hash of the prompt's prefix, where known. */
  readonly prefix_hash?: string;
}

/** What became of a request at a target. `sent`: a permit was asked for.
 * `granted`, `busy`, `unavailable`: the owner's answer. `done`, `failed`: the
 * end of the request or, without permit, of the ask. */
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
  /** Load of the target, where the owner's answer carried it. */
  readonly hint?: LoadHint;
}

/** Chooses targets for a request on one entry instance. */
export abstract class TargetPolicy {
  /** Orders the usable ones of `targets` for the request, best first. The
   * caller spills to the next one after `busy` or `unavailable`. */
  abstract rank(
    request: TargetRequest,
    targets: readonly Target[],
  ): readonly Target[];

  /** Records what became of a request. */
  abstract recordFeedback(feedback: TargetFeedback): void;
}

/** A request that waits for a permit. */
export interface QueuedRequest {
  /** Unique within the queue. */
  readonly id: string;
  /** `ADAPTER@VERSION`; `undefined` for a plain service. */
  readonly version: string | undefined;
  readonly workspace: string;
  /** Share of the workspace relative to others. */
  readonly weight: number;
  readonly class: RequestClass;
  /** Prompt and greatest output together. */
  readonly tokens: number;
  /** Monotonic milliseconds at arrival. */
  readonly queued_at: number;
}

/** Limits a choice from a queue. */
export interface QueueView {
  /** Monotonic milliseconds. */
  readonly now: number;
  /** True for asks that can be served now. */
  readonly accepts: (request: QueuedRequest) => boolean;
}

/** A correction of what a workspace was charged. */
export interface TokenCharge {
  readonly workspace: string;
  readonly class: RequestClass;
  readonly tokens: number;
}

/** The bounded queue of one target. */
export abstract class PermitQueue {
  /** Number of asks that wait. */
  abstract get size(): number;

  /** Adds an ask. False: the queue is full for it. */
  abstract add(request: QueuedRequest): boolean;

  /** Removes an ask that ended otherwise. False: it was not there. */
  abstract remove(id: string): boolean;

  /** The next ask that `view` accepts, without removing it. */
  abstract peek(view: QueueView): QueuedRequest | undefined;

  /** Removes the next ask that `view` accepts and charges its workspace. */
  abstract take(view: QueueView): QueuedRequest | undefined;

  /** Charges a workspace for the tokens that a request used beyond those of
   * its ask, or credits it with a negative number. */
  abstract settle(charge: TokenCharge): void;
}
