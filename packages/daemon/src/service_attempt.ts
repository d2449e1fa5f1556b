/** One attempt to have a call run by one plain service.
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
  checkResponseId,
  readWholeResponse,
  relayServiceResponse,
} from "./relay.ts";
import type { RequestScope } from "./request_scope.ts";
import { createRelayGuard, type ServeContext } from "./serve_context.ts";
import type { TargetResponse } from "./target_client.ts";

/** A call that is being served. */
export interface ServiceJob {
  readonly call: Call;
  readonly caller: Caller;
  readonly admitted: AdmittedService;
  readonly scope: RequestScope;
  readonly body: Buffer;
  /** Names of targets that failed it. */
  readonly excluded_targets: Set<string>;
}

/** A target with the rights to use it. */
export interface ServiceAttempt {
  readonly target: Target;
  readonly permit: EntryPermit;
  readonly reservation: Reservation;
  /** The right to send a call that must not be repeated. */
  readonly intent: TakenIntent | undefined;
}

const MAX_RECORDED_STATUS = 599;

/** Headers of a caller that a service gets to see. */
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

/** Path and query at the service, as the caller wrote them: decoding would
 * change which path is meant. */
export function toServicePath(call: Call): string {
  const rest = (call.req.url ?? "").slice(SERVICE_PREFIX.length);
  const route_end = rest.search(/[/?]/);
  if (route_end < 0) return "/";
  const path = rest.slice(route_end);
  return path.startsWith("/") ? path : `/${path}`;
}

/** Runs one attempt. Yields why it failed, if it did. */
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
    // Only a call that certainly was not sent leaves the intent free.
    if (!job.scope.is_sent) attempt.intent?.markNotRun();
    reservation.settle(job.scope.is_sent ? TOKENS_PER_SERVICE_CALL : 0);
    ctx.ledger.release(permit.id, outcome);
    ctx.desk.noteEnd(target.name, {
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
    // The outcome is recorded for a repeat even if the caller goes away.
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
  checkResponseId(answer, call.request_id);
  if (intent === undefined) {
    await relayServiceResponse(answer, call.res, guard);
    return;
  }
  // The whole answer is read first, so that a repeat gets the same.
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

/** What an error in an attempt means. Throws what ends the request. */
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
