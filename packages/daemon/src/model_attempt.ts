/** One attempt to serve a completion request by one target.
 *
 * @module
 */
import { Refusal, type Target } from "@banyanlb/core";
import type { EntryPermit, ReleaseOutcome } from "@banyanlb/permits";
import type { Reservation } from "@banyanlb/rate";
import type { AdmittedModel, Caller } from "./admission.ts";
import type { Call } from "./caller_server.ts";
import type { Usage } from "./completion_stream.ts";
import { dispatch, LapsedRightError } from "./dispatch.ts";
import { ANSWER_CROSSED, ANSWER_INCOMPLETE } from "./events.ts";
import type { ModelRequest } from "./model_request.ts";
import {
  BrokenAnswerError,
  checkResponse,
  createIncompleteRefusal,
  readWholeResponse,
  relayCompletionStream,
  relayWholeCompletion,
} from "./relay.ts";
import type { RequestScope } from "./request_scope.ts";
import { createRelayGuard, type ServeContext } from "./serve_context.ts";
import type { TargetResponse } from "./target_client.ts";

/** A completion request that is being served. */
export interface ModelJob {
  readonly call: Call;
  readonly caller: Caller;
  readonly request: ModelRequest;
  readonly admitted: AdmittedModel;
  readonly scope: RequestScope;
  /** Upper bound of the tokens that the request can use. */
  readonly tokens: number;
  /** Names of targets that failed to serve the request. */
  readonly excluded_targets: Set<string>;
}

/** A target, with the permit and the token reservation to use it. */
export interface ModelAttempt {
  readonly target: Target;
  readonly permit: EntryPermit;
  readonly reservation: Reservation;
}

/** Result of an attempt. */
export interface AttemptResult {
  readonly outcome: ReleaseOutcome;
  /** Tokens that the target used; `undefined` if unknown. */
  readonly used: number | undefined;
  /** Refusal to send to the caller unless another attempt succeeds; `undefined`
   * if the caller got a response. */
  readonly again: Refusal | undefined;
  /** Reason for a retry, as the tag of its counter. */
  readonly reason: string;
}

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_TOO_MANY = 429;
const STATUS_SERVER_ERROR = 500;

function sumTokens(usage: Usage | undefined): number | undefined {
  if (usage === undefined) return undefined;
  return usage.prompt_tokens + usage.completion_tokens;
}

function createTargetFailedRefusal(message: string, not_run: boolean): Refusal {
  return new Refusal("target_failed", { message, not_run });
}

/** Sends the request to the attempt's target and relays the response. Settles
 * the token reservation and releases the permit in every case. Throws an error
 * after which the request must not be retried. */
export async function runModelAttempt(
  ctx: ServeContext,
  job: ModelJob,
  attempt: ModelAttempt,
): Promise<AttemptResult> {
  const { permit, reservation, target } = attempt;
  const start = ctx.clock.now();
  job.scope.startAttempt();
  let result: AttemptResult | undefined;
  try {
    result = await sendAndRelay(ctx, job, attempt);
  } catch (cause) {
    result = handleAttemptError(ctx, job, cause);
    if (result.again === undefined) throw cause;
  } finally {
    // If the usage is unknown, the run may have used all reserved tokens.
    const outcome = result?.outcome ?? "failed";
    reservation.settle(result?.used ?? reservation.tokens);
    ctx.ledger.release(permit.id, outcome, result?.used);
    ctx.permit_client.recordEnd(target.name, {
      version: permit.version,
      failed: outcome === "failed",
    });
    ctx.metrics.time("request_ms", ctx.clock.now() - start, { outcome });
  }
  if (result.outcome === "failed") job.excluded_targets.add(target.name);
  return result;
}

function createTargetBody(job: ModelJob): string {
  const { request, admitted } = job;
  const stream_options = request.stream
    ? { stream_options: { include_usage: true } }
    : {};
  return JSON.stringify({
    ...request.body,
    ...stream_options,
    model: admitted.version.name,
    max_tokens: request.max_tokens,
  });
}

async function sendAndRelay(
  ctx: ServeContext,
  job: ModelJob,
  attempt: ModelAttempt,
): Promise<AttemptResult> {
  const { call, caller, scope, request, admitted } = job;
  const result = await dispatch(ctx, { caller, ...attempt }, {
    scope,
    target: attempt.target,
    request_id: call.request_id,
    class: admitted.class,
    call: {
      method: "POST",
      path: request.path,
      headers: { "content-type": "application/json" },
      body: createTargetBody(job),
    },
  });
  scope.signal.throwIfAborted();
  if (result.isErr()) {
    const { may_have_run, message } = result.error;
    if (!may_have_run) scope.markNotRun();
    return {
      outcome: "failed",
      used: may_have_run ? undefined : 0,
      again: createTargetFailedRefusal(message, !may_have_run),
      reason: may_have_run ? "target_failed" : "target_unreachable",
    };
  }
  return await relayResponse(ctx, job, result.value);
}

async function relayResponse(
  ctx: ServeContext,
  job: ModelJob,
  response: TargetResponse,
): Promise<AttemptResult> {
  const { request_id, res } = job.call;
  checkResponse(response, request_id);
  if (response.statusCode !== STATUS_OK) {
    return await handleErrorStatus(job, response);
  }
  const start = ctx.clock.now();
  const options = {
    ...createRelayGuard(ctx, job),
    onFirstByte: () =>
      ctx.metrics.time("first_byte_ms", ctx.clock.now() - start),
  };
  const relayed = job.request.stream
    ? await relayCompletionStream(response, res, {
      ...options,
      keeps_usage: isUsageRequested(job.request),
    })
    : await relayWholeCompletion(response, res, options);
  return {
    outcome: "done",
    used: sumTokens(relayed.usage),
    again: undefined,
    reason: "",
  };
}

function isUsageRequested(request: ModelRequest): boolean {
  const options = request.body["stream_options"];
  if (typeof options !== "object" || options === null) return false;
  return (options as { include_usage?: unknown }).include_usage === true;
}

/** Handles a status other than 200. Forwards a status below 500 to the caller,
 * except 404 and 429: after these another attempt may succeed. */
async function handleErrorStatus(
  job: ModelJob,
  response: TargetResponse,
): Promise<AttemptResult> {
  const status = response.statusCode;
  const bytes = await readWholeResponse(response);
  // An engine returns a status below 500 only for a request that it did not run.
  if (status < STATUS_SERVER_ERROR) job.scope.markNotRun();
  if (status === STATUS_NOT_FOUND || status === STATUS_TOO_MANY) {
    const is_missing = status === STATUS_NOT_FOUND;
    return {
      outcome: is_missing ? "not_loaded" : "unused",
      used: 0,
      again: createTargetFailedRefusal(`the target answered ${status}`, true),
      reason: is_missing ? "not_loaded" : "target_busy",
    };
  }
  if (status >= STATUS_SERVER_ERROR) {
    return {
      outcome: "failed",
      used: undefined,
      again: createTargetFailedRefusal(
        `the target answered ${status}`,
        false,
      ),
      reason: "target_failed",
    };
  }
  job.call.res.writeHead(status, {
    "content-type": "application/json",
    "content-length": bytes.length,
  });
  job.call.res.end(bytes);
  return { outcome: "done", used: 0, again: undefined, reason: "" };
}

/** Returns the result of an attempt that threw. A completion may be repeated as
 * long as no part of the response was sent to the caller. */
function handleAttemptError(
  ctx: ServeContext,
  job: ModelJob,
  cause: unknown,
): AttemptResult {
  const { scope, call } = job;
  if (cause instanceof LapsedRightError) {
    return {
      outcome: "unused",
      used: 0,
      again: new Refusal("overloaded", {
        message: cause.message,
        not_run: true,
        retry_after_ms: 0,
      }),
      reason: `${cause.reason}_lapsed`,
    };
  }
  if (!scope.is_sent) {
    return { outcome: "unused", used: 0, again: undefined, reason: "" };
  }
  if (scope.signal.aborted || cause instanceof Refusal) {
    return {
      outcome: "canceled",
      used: undefined,
      again: undefined,
      reason: "",
    };
  }
  return handleBrokenResponse(ctx, call, cause);
}

function handleBrokenResponse(
  ctx: ServeContext,
  call: Call,
  cause: unknown,
): AttemptResult {
  const error = cause instanceof Error ? cause : new Error(String(cause));
  const is_crossed = error instanceof BrokenAnswerError && error.crossed;
  const { request_id } = call;
  const event = is_crossed ? ANSWER_CROSSED : ANSWER_INCOMPLETE;
  ctx.log.write(event, { request_id, err: error.message });
  ctx.metrics.count("answers_broken", { crossed: String(is_crossed) });
  return {
    outcome: "failed",
    used: undefined,
    again: createIncompleteRefusal(error),
    reason: "answer_incomplete",
  };
}
