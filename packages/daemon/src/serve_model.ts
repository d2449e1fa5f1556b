/** Serves chat and text completions.
 *
 * @module
 */
import { hashKey, type Refusal } from "@banyanlb/core";
import type { EntryPermit } from "@banyanlb/permits";
import { admitModel, identifyCaller } from "./admission.ts";
import { AttemptLimit } from "./attempt_limit.ts";
import type { Call } from "./caller_server.ts";
import {
  type ModelAttempt,
  type ModelJob,
  runModelAttempt,
} from "./model_attempt.ts";
import {
  type CompletionPath,
  type ModelRequest,
  parseModelRequest,
} from "./model_request.ts";
import { readBody } from "./request_body.ts";
import { RequestScope } from "./request_scope.ts";
import {
  filterUsableTargets,
  renewTokens,
  requireCapacity,
  requireSnapshot,
  reserveAndAcquire,
  type ServeContext,
} from "./serve_context.ts";

const DEFAULT_BYTES_PER_TOKEN = 1;

/** Returns an upper bound of the tokens that a request can use. `bytes_per_token`
 * is the minimum of prompt bytes per token that the model guarantees. */
function computeMaxTokens(
  request: ModelRequest,
  bytes_per_token = DEFAULT_BYTES_PER_TOKEN,
): number {
  return Math.ceil(request.prompt_bytes / bytes_per_token) +
    request.template_tokens + request.max_tokens;
}

/** Serves one completion request. Throws a {@linkcode Refusal}. */
export async function serveModel(
  ctx: ServeContext,
  call: Call,
  path: CompletionPath,
): Promise<void> {
  requireCapacity(ctx);
  const caller = identifyCaller(requireSnapshot(ctx), call.req);
  const bytes = await readBody(call.req, ctx.settings.max_body_bytes);
  const request = parseModelRequest(path, bytes);
  const snapshot = requireSnapshot(ctx);
  const admitted = admitModel(snapshot, { caller, name: request.model });
  const model = snapshot.get("model", admitted.adapter.model);
  const scope = new RequestScope({
    call,
    caller,
    workspace: admitted.workspace.name,
    timeout_ms: admitted.timeout_ms,
    clock: ctx.clock,
    in_flight: ctx.in_flight,
    pause_watch: ctx.pause_watch,
  });
  const job: ModelJob = {
    call,
    caller,
    request,
    admitted,
    scope,
    tokens: computeMaxTokens(request, model?.min_bytes_per_token),
    excluded_targets: new Set(),
  };
  try {
    await serveUntilDone(ctx, job);
  } catch (cause) {
    throw scope.toRefusal(cause);
  } finally {
    scope.close();
  }
}

async function serveUntilDone(ctx: ServeContext, job: ModelJob): Promise<void> {
  ctx.retry_budget.recordRequest();
  let failure: Refusal | undefined;
  const limit = new AttemptLimit();
  while (limit.allowsAnother) {
    const attempt = await prepareAttempt(ctx, job, failure);
    const result = await runModelAttempt(ctx, job, attempt);
    if (result.again === undefined) return;
    failure = result.again;
    limit.recordFailure({ mayHaveRun: !failure.not_run });
    if (job.call.res.headersSent || !ctx.retry_budget.tryRetry()) break;
    ctx.metrics.count("retried", { reason: result.reason });
  }
  throw failure;
}

/** Acquires a permit and reserves tokens for the next attempt. Throws `failure`,
 * the refusal of the previous attempt, if no usable target is left. */
async function prepareAttempt(
  ctx: ServeContext,
  job: ModelJob,
  failure: Refusal | undefined,
): Promise<ModelAttempt> {
  const { admitted, request, scope } = job;
  const engines = requireSnapshot(ctx)
    .targetsOfModel(admitted.adapter.model)
    .filter((target) => !job.excluded_targets.has(target.name));
  const targets = filterUsableTargets(ctx, engines);
  if (targets.length === 0 && failure !== undefined) throw failure;
  const workspace = admitted.workspace.name;
  const { tokens } = job;
  const token_request = { workspace, tokens, signal: scope.signal };
  const { early, granted: { permit, target } } = await reserveAndAcquire(
    ctx,
    token_request,
    (signal) =>
      ctx.permit_client.acquire({
        version: admitted.version.name,
        workspace,
        class: admitted.class,
        tokens,
        prefix_hash: hashKey(request.prefix),
        weight: admitted.workspace.weight ?? 1,
        deadline_at: scope.deadline_at,
        signal,
        targets,
      }),
  );
  const renewed = renewTokens(ctx, early, token_request);
  const reservation = await releasePermitOnError(ctx, permit, renewed);
  return { target, permit, reservation };
}

/** Awaits `next` and releases the permit as unused if it fails. */
async function releasePermitOnError<T>(
  ctx: ServeContext,
  permit: EntryPermit,
  next: Promise<T>,
): Promise<T> {
  try {
    return await next;
  } catch (cause) {
    ctx.ledger.release(permit.id, "unused");
    throw cause;
  }
}
