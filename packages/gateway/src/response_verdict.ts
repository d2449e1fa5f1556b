/** Judges an engine's response by its head.
 *
 * @module
 */
import { isAnswerStatus, type ResponseHead } from "@banyanlb/serving";

/** Statuses that promise to a caller that its request was not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** The request that a response answers, and the connection that brought it. */
export interface AnsweredRequest {
  readonly id: string | undefined;
  readonly isRepeatable: boolean;
  readonly hasAdapter: boolean;
  /** Whether the connection carried another request before. */
  readonly isConnectionReused: boolean;
}

/** What a response means.
 *
 * `foreign`: it is no answer to the request. `unusable`: nothing in it can be
 * believed. In both cases the request may have run. */
export type ResponseVerdict =
  | { readonly kind: "success" }
  | { readonly kind: "error" }
  | {
    readonly kind: "not_run" | "foreign" | "unusable";
    readonly reason: string;
  };

/** Judges a response.
 *
 * @example
 * ```ts
 * const head = { id: "r1", isSealed: true, wasNotExecuted: false };
 * judgeResponse(200, head, request).kind; // "success" if the request is r1
 * ```
 */
export function judgeResponse(
  status: number,
  head: ResponseHead,
  request: AnsweredRequest,
): ResponseVerdict {
  if (!isAnswerStatus(status)) return { kind: "foreign", reason: "no_answer" };
  // An earlier response, also one without an id, may come once more on a kept
  // connection.
  const needsId = head.id !== undefined || request.isConnectionReused;
  if (needsId && head.id !== request.id) {
    return { kind: "foreign", reason: "other_answer" };
  }
  if (head.wasNotExecuted) {
    if (status === 421) return { kind: "not_run", reason: "adapter_missing" };
    const isLoading = request.hasAdapter && status === 503;
    return { kind: "not_run", reason: isLoading ? "not_run" : "shed" };
  }
  if (status >= 200 && status < 300) {
    return head.isSealed && head.id !== undefined
      ? { kind: "success" }
      : { kind: "unusable", reason: "unsealed" };
  }
  // Without the engine's statement, the request may have run.
  return !request.isRepeatable && NOT_RUN_STATUSES.has(status)
    ? { kind: "unusable", reason: "unstated_refusal" }
    : { kind: "error" };
}
