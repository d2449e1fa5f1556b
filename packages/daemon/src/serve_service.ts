/** Serves calls to plain services.
 *
 * @module
 */
import type { Refusal } from "@banyanlb/core";
import type { TakenIntent } from "@banyanlb/intent";
import type { Reservation } from "@banyanlb/rate";
import { createHash } from "node:crypto";
import { admitService, identifyCaller } from "./admission.ts";
import type { Call } from "./caller_server.ts";
import { AttemptLimit } from "./attempt_limit.ts";
import { TOKENS_PER_SERVICE_CALL } from "./constants.ts";
import type { GrantedTarget } from "./permit_client.ts";
import { readBody } from "./request_body.ts";
import { RequestScope } from "./request_scope.ts";
import {
  filterUsableTargets,
  renewTokens,
  requireCapacity,
  requireSnapshot,
  reserveAndAcquire,
  type ServeContext,
  type TokenRequest,
} from "./serve_context.ts";
import {
  runServiceAttempt,
  type ServiceAttempt,
  type ServiceJob,
  toServicePath,
} from "./service_attempt.ts";
import { takeIntent } from "./take_intent.ts";

/** Serves one call to a plain service. Throws a {@linkcode Refusal}. */
export async function serveService(
  ctx: ServeContext,
  call: Call,
): Promise<void> {
  requireCapacity(ctx);
  const caller = identifyCaller(requireSnapshot(ctx), call.req);
  const body = await readBody(call.req, ctx.settings.max_body_bytes);
  const name = call.params["route"] ?? "";
  const admitted = admitService(requireSnapshot(ctx), { caller, name });
  const scope = new RequestScope({
    call,
    caller,
    workspace: admitted.workspace.name,
    timeout_ms: admitted.timeout_ms,
    clock: ctx.clock,
    in_flight: ctx.in_flight,
    pause_watch: ctx.pause_watch,
  });
  const excluded_targets = new Set<string>();
  try {
    await serveUntilDone(ctx, {
      call,
      caller,
      admitted,
      scope,
      body,
      excluded_targets,
    });
  } catch (cause) {
    throw scope.toRefusal(cause);
  } finally {
    scope.close();
  }
}

async function serveUntilDone(
  ctx: ServeContext,
  job: ServiceJob,
): Promise<void> {
  ctx.retry_budget.recordRequest();
  let failure: Refusal | undefined;
  const limit = new AttemptLimit();
  while (limit.allowsAnother) {
    const attempt = await prepareAttempt(ctx, job, failure);
    if (attempt === undefined) return;
    failure = await runServiceAttempt(ctx, job, attempt);
    if (failure === undefined) return;
    limit.recordFailure({ mayHaveRun: !failure.not_run });
    if (!canRetry(job, failure) || !ctx.retry_budget.tryRetry()) break;
    ctx.metrics.count("retried", { reason: failure.kind });
  }
  throw failure;
}

/** A call that may have run is retried only if its route is repeatable. */
function canRetry(job: ServiceJob, failure: Refusal): boolean {
  if (job.call.res.headersSent) return false;
  return job.admitted.repeatable || failure.not_run;
}

/** Acquires the permit, the tokens and, for a call that must not be repeated, the
 * intent of the next attempt. Returns `undefined` if the caller got the recorded
 * response of an earlier call with the same idempotency key. Throws `failure`,
 * the refusal of the previous attempt, if no usable target is left. */
async function prepareAttempt(
  ctx: ServeContext,
  job: ServiceJob,
  failure: Refusal | undefined,
): Promise<ServiceAttempt | undefined> {
  const { admitted, scope } = job;
  const pool = requireSnapshot(ctx).targetsOfPool(admitted.pool)
    .filter((target) => !job.excluded_targets.has(target.name));
  const targets = filterUsableTargets(ctx, pool);
  if (targets.length === 0 && failure !== undefined) throw failure;
  const workspace = admitted.workspace.name;
  const { early, granted } = await reserveAndAcquire(
    ctx,
    createTokenRequest(job),
    (signal) =>
      ctx.permit_client.acquire({
        version: undefined,
        workspace,
        class: admitted.class,
        tokens: TOKENS_PER_SERVICE_CALL,
        weight: admitted.workspace.weight ?? 1,
        deadline_at: scope.deadline_at,
        signal,
        targets,
      }),
  );
  try {
    const parts = { granted, early };
    const attempt = await completeAttempt(ctx, job, parts);
    if (attempt === undefined) early.settle(0);
    return attempt;
  } catch (cause) {
    early.settle(0);
    throw cause;
  }
}

function createTokenRequest({ admitted, scope }: ServiceJob): TokenRequest {
  const workspace = admitted.workspace.name;
  return { workspace, tokens: TOKENS_PER_SERVICE_CALL, signal: scope.signal };
}

/** Takes the intent and renews the tokens after the permit is granted. Releases
 * the permit as unused if either fails or the call was already served. */
async function completeAttempt(
  ctx: ServeContext,
  job: ServiceJob,
  parts: { readonly granted: GrantedTarget; readonly early: Reservation },
): Promise<ServiceAttempt | undefined> {
  const { permit, target } = parts.granted;
  const { admitted } = job;
  let intent: TakenIntent | undefined;
  try {
    if (!admitted.repeatable) {
      intent = await takeCallIntent(ctx, job);
      if (intent === undefined) {
        ctx.ledger.release(permit.id, "unused");
        return undefined;
      }
    }
    const token_request = createTokenRequest(job);
    const reservation = await renewTokens(ctx, parts.early, token_request);
    return { target, permit, reservation, intent };
  } catch (cause) {
    intent?.markNotRun();
    ctx.ledger.release(permit.id, "unused");
    throw cause;
  }
}

function takeCallIntent(
  ctx: ServeContext,
  job: ServiceJob,
): Promise<TakenIntent | undefined> {
  const { call, admitted, scope, body } = job;
  const method_and_path = `${call.req.method} ${toServicePath(call)}`;
  const body_sha256 = createHash("sha256").update(method_and_path).update("\n")
    .update(body).digest("hex");
  return takeIntent(ctx, call, {
    workspace: admitted.workspace.name,
    route: admitted.route.name,
    body_sha256,
    deadline: scope.deadline_at,
  });
}
