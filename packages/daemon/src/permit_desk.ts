/** Gets permits from the owners of targets, trying targets in the order of
 * the policy.
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
  QUEUE_WAIT_MAX_MS,
  TARGET_ATTEMPTS_MAX,
  TARGET_PERMIT_WAIT_MAX_MS,
} from "./constants.ts";
import { type FindOwner, unwrapMessage } from "./peer_adapters.ts";
import type { PeerLinks } from "./peer_links.ts";

/** A request that needs a permit. */
export interface PermitRequest extends TargetRequest {
  readonly weight: number;
  readonly class: RequestClass;
  /** Reading of the clock at which the request ends. */
  readonly deadline_at: number;
  readonly signal: AbortSignal;
  /** Targets that may serve it. */
  readonly targets: readonly Target[];
}

/** A permit with its target. */
export interface GrantedTarget {
  readonly permit: EntryPermit;
  readonly target: Target;
}

/** What the desk works with. */
export interface PermitDeskDeps {
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Session id of this instance. */
  readonly self: string;
  readonly policy: TargetPolicy;
  readonly ledger: PermitLedger;
  readonly owners: OwnerTable;
  readonly links: PeerLinks;
  readonly findOwner: FindOwner;
}

interface AskedTarget {
  readonly target: Target;
  readonly wait_ms: number;
}

/** What came of asking every ranked target once. */
interface Round {
  readonly granted: GrantedTarget | undefined;
  /** The last refusal by an owner. */
  readonly refused: PermitRefused | undefined;
  /** True if the ownership of a target seems to move. */
  readonly is_moving: boolean;
}

type Reply = PermitReply | undefined;

const UNRANKED_RETRY_MS = 1_000;

/** Gets permits for this entry's requests. */
export class PermitDesk {
  readonly #deps: PermitDeskDeps;

  constructor(deps: PermitDeskDeps) {
    this.#deps = deps;
  }

  /** Gets a permit of the first target that grants one. Throws a
   * {@linkcode Refusal}, or the signal's reason. */
  async acquire(request: PermitRequest): Promise<GrantedTarget> {
    const { clock, metrics } = this.#deps;
    const until = clock.now() + this.#longestWait(request);
    for (;;) {
      const round = await this.#askInTurn(request);
      if (round.granted !== undefined) return round.granted;
      request.signal.throwIfAborted();
      // Owners that do not answer are being replaced; a refusal would be
      // premature as long as the request may wait.
      if (!round.is_moving || clock.now() + OWNER_RETRY_DELAY_MS >= until) {
        throw this.#refuse(request, round.refused);
      }
      metrics.count("retried", { reason: "owner_changed" });
      await clock.sleep(OWNER_RETRY_DELAY_MS, request.signal);
    }
  }

  /** Records that a request with a permit ended. */
  noteEnd(
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

  #longestWait(request: PermitRequest): number {
    const remaining = request.deadline_at - this.#deps.clock.now();
    if (request.class === "batch") return remaining;
    return Math.min(remaining, QUEUE_WAIT_MAX_MS);
  }

  /** Asks the ranked targets one after another. */
  async #askInTurn(request: PermitRequest): Promise<Round> {
    const ranked = this.#deps.policy.rank(request, request.targets)
      .slice(0, TARGET_ATTEMPTS_MAX);
    let refused: PermitRefused | undefined;
    let is_moving = false;
    for (const [index, target] of ranked.entries()) {
      request.signal.throwIfAborted();
      const is_last = index === ranked.length - 1;
      const longest = Math.max(0, this.#longestWait(request));
      const wait_ms = is_last
        ? longest
        : Math.min(longest, TARGET_PERMIT_WAIT_MAX_MS);
      const reply = await this.#ask(request, { target, wait_ms });
      if (reply !== undefined && "permit" in reply) {
        return { granted: reply, refused, is_moving };
      }
      if (reply === undefined || reply.kind === "not_owner") is_moving = true;
      else refused = reply;
    }
    return { granted: undefined, refused, is_moving };
  }

  async #ask(
    request: PermitRequest,
    asked: AskedTarget,
  ): Promise<GrantedTarget | PermitRefused | undefined> {
    const { ledger, clock } = this.#deps;
    const { target, wait_ms } = asked;
    const { version, workspace, weight, tokens } = request;
    const ask = ledger.open({
      target: target.name,
      version,
      workspace,
      weight,
      class: request.class,
      tokens,
      deadline_ms: request.deadline_at - clock.now(),
      wait_ms,
    });
    this.#note(request, { kind: "sent", target });
    const reply = await this.#send(ask, request);
    if (reply === undefined || request.signal.aborted) {
      this.#giveUp(ask, reply);
      this.#note(request, { kind: "failed", target });
      request.signal.throwIfAborted();
      return undefined;
    }
    const permit = ledger.accept(ask.id, reply);
    this.#noteReply(request, { target, reply });
    if (permit !== undefined) return { permit, target };
    return reply.kind === "granted" ? undefined : reply;
  }

  #giveUp(ask: PermitAcquireRequest, reply: Reply): void {
    const { ledger } = this.#deps;
    if (reply === undefined) {
      ledger.abandon(ask.id);
      return;
    }
    const permit = ledger.accept(ask.id, reply);
    if (permit !== undefined) ledger.release(permit.id, "unused");
  }

  async #send(
    ask: PermitAcquireRequest,
    request: PermitRequest,
  ): Promise<Reply> {
    const { findOwner, owners, self, links } = this.#deps;
    const owner = findOwner(ask.target);
    if (owner === undefined) return undefined;
    if (owner === self) return await owners.acquire(ask, request.signal);
    const limit = AbortSignal.timeout(
      Math.ceil((ask.wait_ms ?? 0) + PERMIT_REPLY_MARGIN_MS),
    );
    const signal = AbortSignal.any([limit, request.signal]);
    try {
      const client = links.clientOf(owner);
      const reply = await client.p.pa.mutate(encodeAcquireRequest(ask), {
        signal,
      });
      return unwrapMessage(decodeReply(reply, ask.id));
    } catch {
      this.#deps.metrics.count("retried", { reason: "owner_unreachable" });
      return undefined;
    }
  }

  #noteReply(
    request: PermitRequest,
    answer: { readonly target: Target; readonly reply: PermitReply },
  ): void {
    const { target, reply } = answer;
    const kind = reply.kind === "granted"
      ? "granted"
      : reply.kind === "busy"
      ? "busy"
      : "unavailable";
    this.#note(request, { kind, target, hint: reply.hint });
    // A refused ask ends here; a granted one when its request does.
    if (kind !== "granted") this.#note(request, { kind: "done", target });
  }

  #note(
    request: PermitRequest,
    row: {
      readonly kind: Parameters<TargetPolicy["recordFeedback"]>[0]["kind"];
      readonly target: Target;
      readonly hint?: PermitReply["hint"];
    },
  ): void {
    const { prefix_hash, version } = request;
    this.#deps.policy.recordFeedback({
      kind: row.kind,
      target: row.target.name,
      version,
      ...(prefix_hash === undefined ? {} : { prefix_hash }),
      ...(row.hint === undefined ? {} : { hint: row.hint }),
    });
  }

  #refuse(request: PermitRequest, last: PermitRefused | undefined): Refusal {
    const what = request.version ?? "the service";
    if (request.targets.length === 0) {
      return new Refusal("no_target", {
        message: `no target serves ${what}`,
        not_run: true,
        retry_after_ms: UNRANKED_RETRY_MS,
      });
    }
    if (last?.kind === "load_failed") {
      return new Refusal("load_failed", {
        message: `${what} could not be loaded`,
        not_run: true,
        retry_after_ms: last.retry_after_ms,
      });
    }
    const is_busy = last?.kind === "busy";
    return new Refusal(is_busy ? "overloaded" : "no_target", {
      message: is_busy
        ? `every target for ${what} is busy`
        : `no target for ${what} can be used now`,
      not_run: true,
      retry_after_ms: last?.retry_after_ms ?? UNRANKED_RETRY_MS,
    });
  }
}
