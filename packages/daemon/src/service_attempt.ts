/** One attempt to serve a call by one target of a plain service.
 *
 * @module
 */
import { Refusal, type Target } from "@banyanlb/core";
import type { TakenIntent } from "@banyanlb/intent";
import type { EntryPermit, ReleaseOutcome } from "@banyanlb/permits";
import type { Reservation } from "@banyanlb/rate";
import type { AdmittedService, Caller } from "./admission.ts";
import type { Call } from "./caller_server.ts";
import { TOKENS_PER_SERVICE_CALL } from "./constants.ts";
import { dispatch, LapsedRightError } from "./dispatch.ts";
import {
  checkResponse,
  readWholeResponse,
  relayServiceResponse,
} from "./relay.ts";
import type { RequestScope } from "./request_scope.ts";
import { createRelayGuard, type ServeContext } from "./serve_context.ts";
import type { TargetResponse } from "./target_client.ts";

/** A call to a plain service that is being served. */
export interface ServiceJob {
  readonly call: Call;
  readonly caller: Caller;
  readonly admitted: AdmittedService;
  readonly scope: RequestScope;
  readonly body: Buffer;
  /** Names of targets that failed to serve the call. */
  readonly excluded_targets: Set<string>;
}

/** A target, with the permit, the tokens and the intent to use it. */
export interface ServiceAttempt {
  readonly target: Target;
  readonly permit: EntryPermit;
  readonly reservation: Reservation;
  /** Allows sending a call that must not be repeated. Absent if the route is
   * repeatable. */
  readonly intent: TakenIntent | undefined;
}

const MAX_RECORDED_STATUS = 599;

/** Request headers of callers that are forwarded to services. */
const FORWARDED_HEADERS = [
  "accept",
  "accept-language",
  "content-type",
  "idempotency-key",
  "user-agent",
] as const;

function selectForwardedHeaders(call: Call): Readonly<Record<string, string>> {
  const rows = FORWARDED_HEADERS.flatMap((name) => {
    const value = call.req.headers[name];
    return typeof value === "string" ? [[name, value] as const] : [];
  });
  return Object.fromEntries(rows);
}

const SERVICE_PREFIX = "/services/";

/** Returns the path and query for the service, without decoding them: decoding
 * an escaped `/` or `?` would change the path. */
export function toServicePath(call: Call): string {
  const rest = (call.req.url ?? "").slice(SERVICE_PREFIX.length);
  const route_end = rest.search(/[/?]/);
  if (route_end < 0) return "/";
  const path = rest.slice(route_end);
  return path.startsWith("/") ? path : `/${path}`;
}

/** Runs one attempt. Resolves to the refusal if it failed, or to `undefined` if
 * the caller got a response. Throws an error after which the call must not be
 * retried. */
export async function runServiceAttempt(
  ctx: ServeContext,
  job: ServiceJob,
  attempt: ServiceAttempt,
): Promise<Refusal | undefined> {
  const { target, permit, reservation } = attempt;
  job.scope.startAttempt();
  let outcome: ReleaseOutcome | undefined;
  let failure: Refusal | undefined;
  try {
    failure = await sendAndRelay(ctx, job, attempt);
    outcome = failure === undefined ? "done" : "failed";
  } catch (cause) {
    failure = toAttemptFailure(job, cause);
  } finally {
    outcome ??= classifyErrorOutcome(job);
    // The intent may be taken again only if the call was certainly not sent.
    if (!job.scope.is_sent) attempt.intent?.markNotRun();
    reservation.settle(job.scope.is_sent ? TOKENS_PER_SERVICE_CALL : 0);
    ctx.ledger.release(permit.id, outcome);
    ctx.permit_client.recordEnd(target.name, {
      version: undefined,
      failed: outcome === "failed",
    });
  }
  if (outcome === "failed") job.excluded_targets.add(target.name);
  return failure;
}

function classifyErrorOutcome(job: ServiceJob): ReleaseOutcome {
  if (!job.scope.is_sent) return "unused";
  return job.scope.signal.aborted ? "canceled" : "failed";
}

async function sendAndRelay(
  ctx: ServeContext,
  job: ServiceJob,
  attempt: ServiceAttempt,
): Promise<Refusal | undefined> {
  const { call, caller, admitted, scope } = job;
  const { intent } = attempt;
  const result = await dispatch(ctx, {
    caller,
    permit: attempt.permit,
    reservation: attempt.reservation,
    ...(intent === undefined
      ? {}
      : { isIntentUsable: () => intent.isUsable() }),
  }, {
    scope,
    target: attempt.target,
    request_id: call.request_id,
    class: admitted.class,
    // The call continues if the caller disconnects, so that its outcome is
    // recorded for a repeat.
    ...(intent === undefined ? {} : { signal: scope.deadline_signal }),
    call: {
      method: call.req.method ?? "GET",
      path: toServicePath(call),
      headers: selectForwardedHeaders(call),
      body: job.body.length === 0 ? undefined : job.body,
      needs_new_connection: !admitted.repeatable,
    },
  });
  if (result.isErr()) {
    if (!result.error.may_have_run) scope.markNotRun();
    return createFailureRefusal(job, result.error.message);
  }
  await relayResponse(ctx, job, { answer: result.value, intent });
  return undefined;
}

async function relayResponse(
  ctx: ServeContext,
  job: ServiceJob,
  parts: {
    readonly answer: TargetResponse;
    readonly intent: TakenIntent | undefined;
  },
): Promise<void> {
  const { call, scope } = job;
  const { answer, intent } = parts;
  const guard = createRelayGuard(ctx, job);
  checkResponse(answer, call.request_id);
  if (intent === undefined) {
    await relayServiceResponse(answer, call.res, guard);
    return;
  }
  // The whole response is buffered and recorded, so that a repeat with the same
  // idempotency key gets the same response.
  const body = await readWholeResponse(answer);
  const status = Math.min(answer.statusCode, MAX_RECORDED_STATUS);
  const content_type = String(answer.headers["content-type"] ?? "");
  intent.finish({ status, content_type, body });
  scope.signal.throwIfAborted();
  guard.checkWriteAllowed();
  call.res.writeHead(status, {
    ...(content_type === "" ? {} : { "content-type": content_type }),
    "content-length": body.length,
  });
  call.res.end(body);
}

function createFailureRefusal(job: ServiceJob, message: string): Refusal {
  const not_run = !job.scope.is_sent;
  const is_unknown = !not_run && !job.admitted.repeatable;
  return new Refusal(is_unknown ? "outcome_unknown" : "target_failed", {
    message,
    not_run,
  });
}

/** Converts an error of an attempt to its refusal. Rethrows an error after which
 * the call must not be retried. */
function toAttemptFailure(job: ServiceJob, cause: unknown): Refusal {
  if (cause instanceof LapsedRightError) {
    return new Refusal("overloaded", {
      message: cause.message,
      not_run: true,
      retry_after_ms: 0,
    });
  }
  if (job.scope.signal.aborted) throw cause;
  if (cause instanceof Refusal) throw cause;
  return createFailureRefusal(job, String(cause));
}
