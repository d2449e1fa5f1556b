/** Acquires permits from the owners of targets. Tries the targets in the order
 * in which the target policy ranks them.
 *
 * @module
 */
import {
  type Clock,
  type Metrics,
  Refusal,
  type RequestClass,
  type Target,
  type TargetPolicy,
  type TargetRequest,
} from "@banyanlb/core";
import {
  decodeReply,
  encodeAcquireRequest,
  type EntryPermit,
  type OwnerTable,
  type PermitAcquireRequest,
  type PermitLedger,
  type PermitRefused,
  type PermitReply,
} from "@banyanlb/permits";
import {
  OWNER_RETRY_DELAY_MS,
  PERMIT_REPLY_MARGIN_MS,
  PERMIT_TARGETS_MAX,
  QUEUE_WAIT_MAX_MS,
  TARGET_PERMIT_WAIT_MAX_MS,
} from "./constants.ts";
import { type FindOwner, unwrapMessage } from "./peer_adapters.ts";
import type { PeerLinks } from "./peer_links.ts";

/** A caller's request that needs a permit. */
export interface PermitRequest extends TargetRequest {
  readonly weight: number;
  readonly class: RequestClass;
  /** Clock time at which the request's deadline expires. */
  readonly deadline_at: number;
  readonly signal: AbortSignal;
  /** Targets that may serve the request. */
  readonly targets: readonly Target[];
}

/** A granted permit and the target that it is for. */
export interface GrantedTarget {
  readonly permit: EntryPermit;
  readonly target: Target;
}

/** Dependencies of the permit client. */
export interface PermitClientDeps {
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Session id of this instance. */
  readonly self: string;
  readonly policy: TargetPolicy;
  readonly ledger: PermitLedger;
  readonly owners: OwnerTable;
  readonly links: PeerLinks;
  readonly findOwner: FindOwner;
  /** Called when an owner does not reply or no longer owns its target: the view
   * of the fleet may be out of date. */
  readonly onOwnerMoving: () => void;
}

/** One attempt to acquire a permit of a target. */
interface TargetAttempt {
  readonly target: Target;
  readonly wait_ms: number;
}

/** Result of trying every ranked target once. */
interface RoundResult {
  readonly granted: GrantedTarget | undefined;
  /** The last refusal received from an owner. */
  readonly refused: PermitRefused | undefined;
  /** True if an owner did not reply or no longer owns its target, so that
   * ownership is probably moving to another instance. */
  readonly is_moving: boolean;
}

/** Reply of an owner; `undefined` if there is no owner or it did not reply. */
type OwnerReply = PermitReply | undefined;

/** Retry-after time of a refusal for which no owner named one. */
const NO_TARGET_RETRY_MS = 1_000;

/** Acquires permits for the requests that this instance serves. */
export class PermitClient {
  readonly #deps: PermitClientDeps;

  constructor(deps: PermitClientDeps) {
    this.#deps = deps;
  }

  /** Acquires a permit from the first ranked target whose owner grants one.
   * Throws a {@linkcode Refusal} if none does, or the abort reason of the
   * request's signal. */
  async acquire(request: PermitRequest): Promise<GrantedTarget> {
    const { clock, metrics } = this.#deps;
    const retry_until = clock.now() + this.#longestWaitMs(request);
    for (;;) {
      const round = await this.#tryTargets(request);
      if (round.granted !== undefined) return round.granted;
      request.signal.throwIfAborted();
      // A new owner replaces an owner that does not reply, so retry as long as
      // the request may wait.
      if (
        !round.is_moving || clock.now() + OWNER_RETRY_DELAY_MS >= retry_until
      ) {
        throw this.#toRefusal(request, round.refused);
      }
      metrics.count("retried", { reason: "owner_changed" });
      this.#deps.onOwnerMoving();
      await clock.sleep(OWNER_RETRY_DELAY_MS, request.signal);
    }
  }

  /** Reports to the target policy that a request with a permit has ended. */
  recordEnd(
    target: string,
    end: { readonly version: string | undefined; readonly failed: boolean },
  ): void {
    const { version, failed } = end;
    this.#deps.policy.recordFeedback({
      kind: failed ? "failed" : "done",
      target,
      version,
    });
  }

  #longestWaitMs(request: PermitRequest): number {
    const remaining_ms = request.deadline_at - this.#deps.clock.now();
    if (request.class === "batch") return remaining_ms;
    return Math.min(remaining_ms, QUEUE_WAIT_MAX_MS);
  }

  /** Tries the ranked targets one after another. */
  async #tryTargets(request: PermitRequest): Promise<RoundResult> {
    const ranked = this.#deps.policy.rank(request, request.targets)
      .slice(0, PERMIT_TARGETS_MAX);
    let refused: PermitRefused | undefined;
    let is_moving = false;
    for (const [index, target] of ranked.entries()) {
      request.signal.throwIfAborted();
      const is_last = index === ranked.length - 1;
      const longest_wait_ms = Math.max(0, this.#longestWaitMs(request));
      const wait_ms = is_last
        ? longest_wait_ms
        : Math.min(longest_wait_ms, TARGET_PERMIT_WAIT_MAX_MS);
      const reply = await this.#tryTarget(request, { target, wait_ms });
      if (reply !== undefined && "permit" in reply) {
        return { granted: reply, refused, is_moving };
      }
      if (reply === undefined || reply.kind === "not_owner") is_moving = true;
      else refused = reply;
    }
    return { granted: undefined, refused, is_moving };
  }

  async #tryTarget(
    request: PermitRequest,
    attempt: TargetAttempt,
  ): Promise<GrantedTarget | PermitRefused | undefined> {
    const { ledger, clock } = this.#deps;
    const { target, wait_ms } = attempt;
    const { version, workspace, weight, tokens } = request;
    const message = ledger.open({
      target: target.name,
      version,
      workspace,
      weight,
      class: request.class,
      tokens,
      deadline_ms: request.deadline_at - clock.now(),
      wait_ms,
    });
    this.#record(request, { kind: "sent", target });
    const reply = await this.#sendToOwner(message, request);
    if (reply === undefined || request.signal.aborted) {
      this.#abandon(message, reply);
      this.#record(request, { kind: "failed", target });
      request.signal.throwIfAborted();
      return undefined;
    }
    const permit = ledger.accept(message.id, reply);
    this.#recordReply(request, { target, reply });
    if (permit !== undefined) return { permit, target };
    return reply.kind === "granted" ? undefined : reply;
  }

  #abandon(message: PermitAcquireRequest, reply: OwnerReply): void {
    const { ledger } = this.#deps;
    if (reply === undefined) {
      ledger.abandon(message.id);
      return;
    }
    const permit = ledger.accept(message.id, reply);
    if (permit !== undefined) ledger.release(permit.id, "unused");
  }

  async #sendToOwner(
    message: PermitAcquireRequest,
    request: PermitRequest,
  ): Promise<OwnerReply> {
    const { findOwner, owners, self, links } = this.#deps;
    const owner = findOwner(message.target);
    if (owner === undefined) return undefined;
    if (owner === self) return await owners.acquire(message, request.signal);
    const timeout = AbortSignal.timeout(
      Math.ceil((message.wait_ms ?? 0) + PERMIT_REPLY_MARGIN_MS),
    );
    const signal = AbortSignal.any([timeout, request.signal]);
    try {
      const client = links.clientOf(owner);
      const reply = await client.p.pa.mutate(encodeAcquireRequest(message), {
        signal,
      });
      return unwrapMessage(decodeReply(reply, message.id));
    } catch {
      this.#deps.metrics.count("retried", { reason: "owner_unreachable" });
      return undefined;
    }
  }

  #recordReply(
    request: PermitRequest,
    received: { readonly target: Target; readonly reply: PermitReply },
  ): void {
    const { target, reply } = received;
    const kind = reply.kind === "granted"
      ? "granted"
      : reply.kind === "busy"
      ? "busy"
      : "unavailable";
    this.#record(request, { kind, target, hint: reply.hint });
    // A refused request ends here. A granted one ends with `recordEnd`.
    if (kind !== "granted") this.#record(request, { kind: "done", target });
  }

  #record(
    request: PermitRequest,
    feedback: {
      readonly kind: Parameters<TargetPolicy["recordFeedback"]>[0]["kind"];
      readonly target: Target;
      readonly hint?: PermitReply["hint"];
    },
  ): void {
    const { prefix_hash, version } = request;
    this.#deps.policy.recordFeedback({
      kind: feedback.kind,
      target: feedback.target.name,
      version,
      ...(prefix_hash === undefined ? {} : { prefix_hash }),
      ...(feedback.hint === undefined ? {} : { hint: feedback.hint }),
    });
  }

  #toRefusal(
    request: PermitRequest,
    last_refusal: PermitRefused | undefined,
  ): Refusal {
    const requested = request.version ?? "the service";
    if (request.targets.length === 0) {
      return new Refusal("no_target", {
        message: `no target serves ${requested}`,
        not_run: true,
        retry_after_ms: NO_TARGET_RETRY_MS,
      });
    }
    if (last_refusal?.kind === "load_failed") {
      return new Refusal("load_failed", {
        message: `${requested} could not be loaded`,
        not_run: true,
        retry_after_ms: last_refusal.retry_after_ms,
      });
    }
    const is_busy = last_refusal?.kind === "busy";
    return new Refusal(is_busy ? "overloaded" : "no_target", {
      message: is_busy
        ? `every target for ${requested} is busy`
        : `no target for ${requested} can be used now`,
      not_run: true,
      retry_after_ms: last_refusal?.retry_after_ms ?? NO_TARGET_RETRY_MS,
    });
  }
}
