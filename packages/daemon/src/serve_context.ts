/** Dependencies and shared steps of the handlers of callers' requests.
 *
 * @module
 */
import {
  type Clock,
  type EventLog,
  type Metrics,
  Refusal,
  type Target,
} from "@banyanlb/core";
import type { IntentLog } from "@banyanlb/intent";
import type { FleetView } from "@banyanlb/fleet";
import type { FreshnessState, Snapshot } from "@banyanlb/published";
import type { PermitLedger } from "@banyanlb/permits";
import type { RateClient, RateRefusal, Reservation } from "@banyanlb/rate";
import type { FullSettings } from "./settings.ts";
import { setImmediate as nextTurn } from "node:timers/promises";
import { TOKEN_WAIT_MAX_MS } from "./constants.ts";
import type { Caller } from "./admission.ts";
import type { InFlightRegistry } from "./in_flight_registry.ts";
import type { InstanceListWatch } from "./instance_list_watch.ts";
import type { PauseWatch } from "./pause_watch.ts";
import type { GrantedTarget, PermitClient } from "./permit_client.ts";
import type { RelayGuard } from "./relay.ts";
import type { RequestScope } from "./request_scope.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { TargetClient } from "./target_client.ts";

/** Dependencies of the request handlers. */
export interface ServeContext {
  readonly settings: FullSettings;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly in_flight: InFlightRegistry;
  readonly pause_watch: PauseWatch;
  readonly permit_client: PermitClient;
  readonly ledger: PermitLedger;
  readonly rate_client: RateClient;
  readonly intent_log: IntentLog;
  readonly targets: TargetClient;
  readonly retry_budget: RetryBudget;
  readonly list_watch: InstanceListWatch;
  readonly snapshot: () => Snapshot | undefined;
  readonly fleet: () => FleetView | undefined;
  readonly freshness: () => FreshnessState;
}

/** Returns the current configuration. Throws a {@linkcode Refusal} if there is
 * none or if it may be out of date. Freshness can change between turns of the
 * event loop: call this in the turn in which the configuration is used. */
export function requireSnapshot(ctx: ServeContext): Snapshot {
  const { serve, reason } = ctx.freshness();
  const snapshot = ctx.snapshot();
  if (serve && snapshot !== undefined) return snapshot;
  const is_unconfigured = reason === "not_ready" || snapshot === undefined;
  throw new Refusal(is_unconfigured ? "not_ready" : "stale_configuration", {
    message: is_unconfigured
      ? "this instance has no configuration yet"
      : "this instance cannot tell whether its configuration is current",
    not_run: true,
    retry_after_ms: ctx.settings.fresh_limit_ms,
  });
}

/** Admission control: throws a {@linkcode Refusal} if `max_in_flight` requests
 * are being served. */
export function requireCapacity(ctx: ServeContext): void {
  if (ctx.in_flight.size < ctx.settings.max_in_flight) return;
  throw new Refusal("overloaded", {
    message: "this instance serves as many requests as it may",
    not_run: true,
    retry_after_ms: ctx.settings.steering_keep_ms,
  });
}

/** Returns the targets that are not leaving and so accept new requests. */
export function filterUsableTargets(
  ctx: ServeContext,
  targets: readonly Target[],
): readonly Target[] {
  return targets.filter((target) =>
    target.leaving !== true && !ctx.list_watch.isLeaving(target.name)
  );
}

function toRefusal(refusal: RateRefusal): Refusal {
  const { kind, message } = refusal;
  if (kind === "over_burst") {
    return new Refusal("request_over_burst", { message, not_run: true });
  }
  return new Refusal(kind === "rate_limited" ? "rate_limited" : "overloaded", {
    message,
    not_run: true,
    retry_after_ms: refusal.retry_after_ms,
  });
}

/** Rate tokens that a request needs. */
export interface TokenRequest {
  readonly workspace: string;
  readonly tokens: number;
  readonly signal: AbortSignal;
}

/** Reserves rate tokens. Waits up to `TOKEN_WAIT_MAX_MS` for them, since a refusal
 * and a repeat would delay the caller for longer. Throws a {@linkcode Refusal}
 * if the tokens are not available in that time. */
export async function reserveTokens(
  ctx: ServeContext,
  request: TokenRequest,
): Promise<Reservation> {
  const { clock, metrics, rate_client } = ctx;
  const until = clock.now() + TOKEN_WAIT_MAX_MS;
  for (;;) {
    const result = await rate_client.acquire(request);
    if (result.isOk()) return result.value;
    const refusal = result.error;
    if (refusal.kind === "over_burst") throw toRefusal(refusal);
    if (clock.now() + refusal.retry_after_ms > until) throw toRefusal(refusal);
    metrics.count("tokens_awaited", { kind: refusal.kind });
    await clock.sleep(refusal.retry_after_ms, request.signal);
  }
}

/** Reserves tokens and acquires a permit at the same time, so that the request
 * waits for one round trip instead of two. A refusal of the tokens aborts the
 * acquisition; if the tokens are refused locally, without a message to a peer, the
 * acquisition starts aborted. If either fails, the reservation or permit that
 * was granted is returned and the error is thrown. */
export async function reserveAndAcquire(
  ctx: ServeContext,
  request: TokenRequest,
  acquirePermit: (signal: AbortSignal) => Promise<GrantedTarget>,
): Promise<{ readonly early: Reservation; readonly granted: GrantedTarget }> {
  const refused = new AbortController();
  const reservation = reserveTokens(ctx, request);
  reservation.catch((cause) => refused.abort(cause));
  await Promise.race([reservation, nextTurn()]);
  const acquisition = acquirePermit(
    AbortSignal.any([request.signal, refused.signal]),
  );
  const [tokens, permit] = await Promise.allSettled([reservation, acquisition]);
  if (tokens.status === "fulfilled" && permit.status === "fulfilled") {
    return { early: tokens.value, granted: permit.value };
  }
  if (tokens.status === "fulfilled") tokens.value.settle(0);
  if (permit.status === "fulfilled") {
    ctx.ledger.release(permit.value.permit.id, "unused");
  }
  throw tokens.status === "rejected"
    ? tokens.reason
    : (permit as PromiseRejectedResult).reason;
}

/** Returns the reservation `early`, made before the wait for a permit, or a new
 * one if it has expired, so that the tokens are charged when the request is sent.
 * Throws a {@linkcode Refusal}. */
export async function renewTokens(
  ctx: ServeContext,
  early: Reservation,
  request: TokenRequest,
): Promise<Reservation> {
  if (early.isUsable()) return early;
  early.settle(0);
  return await reserveTokens(ctx, request);
}

/** Creates the guard for relaying a response. The response to a request with a
 * key is relayed only while the configuration is fresh enough to verify the key;
 * the check runs in the turn of each write. */
export function createRelayGuard(
  ctx: ServeContext,
  job: { readonly scope: RequestScope; readonly caller: Caller },
): RelayGuard {
  const { scope, caller } = job;
  return {
    signal: scope.signal,
    checkWriteAllowed: () => {
      if (caller.key_sha256 !== undefined) requireSnapshot(ctx);
    },
  };
}
