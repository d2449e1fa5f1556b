/** Refusals: the responses to requests that are not served.
 *
 * @module
 */

/** All kinds of refusals. Each kind is counted separately. */
export type RefusalKind =
  | "bad_request"
  | "body_too_large"
  | "unauthorized"
  | "key_withdrawn"
  | "forbidden"
  | "unknown_route"
  | "unknown_model"
  | "rate_limited"
  | "request_over_burst"
  | "overloaded"
  | "no_target"
  | "load_failed"
  | "deadline_exceeded"
  | "idempotency_key_required"
  | "idempotency_key_reused"
  | "already_taken"
  | "store_unavailable"
  | "stale_configuration"
  | "not_ready"
  | "outcome_unknown"
  | "target_failed"
  | "answer_incomplete"
  | "internal_error";

interface KindAttributes {
  readonly status: number;
  readonly remedy: string;
}

const ATTRIBUTES_BY_KIND: Readonly<Record<RefusalKind, KindAttributes>> = {
  bad_request: { status: 400, remedy: "correct the request and send it again" },
  body_too_large: { status: 413, remedy: "send a smaller body" },
  unauthorized: { status: 401, remedy: "send a valid key as bearer token" },
  key_withdrawn: { status: 401, remedy: "ask your operator for a new key" },
  forbidden: { status: 403, remedy: "use a key of the owning workspace" },
  unknown_route: { status: 404, remedy: "check the path against /v1/models" },
  unknown_model: { status: 404, remedy: "name a model of /v1/models" },
  rate_limited: { status: 429, remedy: "wait for Retry-After, then repeat" },
  request_over_burst: {
    status: 413,
    remedy: "lower max_tokens or ask for a larger burst",
  },
  overloaded: { status: 503, remedy: "wait for Retry-After, then repeat" },
  no_target: { status: 503, remedy: "repeat later; operators: add a target" },
  load_failed: {
    status: 503,
    remedy: "repeat later; operators: check the version's weights",
  },
  deadline_exceeded: { status: 504, remedy: "repeat with a longer deadline" },
  idempotency_key_required: {
    status: 400,
    remedy: "send an Idempotency-Key header, new for each operation",
  },
  idempotency_key_reused: {
    status: 422,
    remedy: "use a new Idempotency-Key for another body",
  },
  already_taken: {
    status: 409,
    remedy: "the call was sent before; ask the service for its outcome",
  },
  store_unavailable: {
    status: 503,
    remedy: "repeat with the same Idempotency-Key later",
  },
  stale_configuration: {
    status: 503,
    remedy: "ask for another address and repeat there",
  },
  not_ready: { status: 503, remedy: "ask for another address" },
  outcome_unknown: {
    status: 502,
    remedy: "the call may have run; ask the service for its outcome",
  },
  target_failed: { status: 502, remedy: "repeat the request" },
  answer_incomplete: {
    status: 502,
    remedy: "discard the partial answer and repeat the request",
  },
  internal_error: {
    status: 500,
    remedy: "report this to the operators with the x-request-id",
  },
};

/** Details of a refusal. */
export interface RefusalDetails {
  readonly message: string;
  /** True only if it is certain that the request did not run. */
  readonly not_run: boolean;
  /** Time after which a retry may succeed, in milliseconds from now. */
  readonly retry_after_ms?: number;
}

/** A refusal, as sent to the caller.
 *
 * @example
 * ```ts
 * const refusal = new Refusal("rate_limited", {
 *   message: "workspace acme is over its rate",
 *   not_run: true,
 *   retry_after_ms: 800,
 * });
 * refusal.status; // 429
 * ```
 */
export class Refusal extends Error {
  readonly kind: RefusalKind;
  readonly status: number;
  readonly remedy: string;
  readonly not_run: boolean;
  readonly retry_after_ms: number | undefined;

  constructor(kind: RefusalKind, details: RefusalDetails) {
    super(details.message);
    this.name = "Refusal";
    this.kind = kind;
    this.status = ATTRIBUTES_BY_KIND[kind].status;
    this.remedy = ATTRIBUTES_BY_KIND[kind].remedy;
    this.not_run = details.not_run;
    this.retry_after_ms = details.retry_after_ms;
  }

  /** Returns the JSON body of the response. */
  toJson(): string {
    return JSON.stringify({
      error: {
        type: this.kind,
        message: this.message,
        remedy: this.remedy,
        not_run: this.not_run,
      },
    });
  }
}
