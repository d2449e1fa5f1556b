/** Takes the intents of calls that must not be repeated, and converts the
 * outcomes to responses.
 *
 * @module
 */
import { Refusal } from "@banyanlb/core";
import type { IntentError, ReplayedCall, TakenIntent } from "@banyanlb/intent";
import type { Call } from "./caller_server.ts";
import type { ServeContext } from "./serve_context.ts";

/** Properties of the call whose intent is taken. */
export interface IntentRequest {
  readonly workspace: string;
  readonly route: string;
  readonly body_sha256: string;
  /** Time of the monotonic clock after which the call must not be sent. */
  readonly deadline: number;
}

const KEY_MAX_CHARS = 256;

function readIdempotencyKey(call: Call): string {
  const key = call.req.headers["idempotency-key"];
  if (typeof key === "string" && key !== "" && key.length <= KEY_MAX_CHARS) {
    return key;
  }
  throw new Refusal("idempotency_key_required", {
    message: "this route needs an Idempotency-Key header of 1 to " +
      `${KEY_MAX_CHARS} characters`,
    not_run: true,
  });
}

function toRefusal(error: IntentError): Refusal {
  if (error.kind === "key_reused") {
    return new Refusal("idempotency_key_reused", {
      message: error.message,
      not_run: true,
    });
  }
  return new Refusal("store_unavailable", {
    message: error.message,
    not_run: true,
    retry_after_ms: error.retry_after_ms,
  });
}

function sendRecordedResponse(call: Call, { response }: ReplayedCall): void {
  const { status, content_type, body } = response;
  call.res.writeHead(status, {
    ...(content_type === "" ? {} : { "content-type": content_type }),
    "content-length": body.length,
    "idempotent-replayed": "true",
  });
  call.res.end(body);
}

/** Takes the intent of a call. If the call has already run, sends the recorded
 * response and resolves to `undefined`. Throws a {@linkcode Refusal}. */
export async function takeIntent(
  ctx: ServeContext,
  call: Call,
  request: IntentRequest,
): Promise<TakenIntent | undefined> {
  const idempotency_key = readIdempotencyKey(call);
  const result = await ctx.intent_log.take({ ...request, idempotency_key });
  if (result.isErr()) throw toRefusal(result.error);
  const outcome = result.value;
  if (outcome.kind === "taken") return outcome;
  if (outcome.kind === "replayed") {
    ctx.metrics.count("replayed");
    sendRecordedResponse(call, outcome);
    return undefined;
  }
  // not_run is false because an earlier call with this key may have run.
  throw new Refusal("already_taken", {
    message: outcome.finished
      ? "the call has run; its response was too large to be recorded"
      : "another attempt of this call was sent or is about to be",
    not_run: false,
  });
}
