/** How attempts at engines end.
 *
 * @module
 */

import type { EngineView } from "@banyanlb/serving";

/** An attempt that goes on with the request of another one. */
export interface Successor {
  readonly view: EngineView;
  readonly outcome: Promise<AttemptOutcome>;
}

/** How one attempt ended. */
export type AttemptOutcome =
  /** The whole response was forwarded, or the caller disconnected. */
  | { readonly kind: "finished" }
  /** The engine did not run the request. */
  | { readonly kind: "not_run"; readonly reason: string }
  /** The request may have run; nothing was forwarded to the caller. */
  | { readonly kind: "failed"; readonly reason: string }
  /** The engine sent an error response; it is forwarded if no retry
   * succeeds. */
  | { readonly kind: "error_answer"; readonly answer: BufferedResponse }
  /** The stream broke off after the response headers had been sent to the
   * caller. */
  | { readonly kind: "broken"; readonly reason: string }
  /** The engine was unresponsive, and another one goes on with the request. */
  | {
    readonly kind: "moved";
    readonly reason: string;
    readonly successor: Successor;
  }
  /** The request's deadline has expired. */
  | { readonly kind: "timed_out" };

/** Ends an attempt with an outcome. Only the first call has an effect. */
export interface AttemptSettler {
  (outcome: AttemptOutcome): void;
  /** Whether the attempt has ended. Bytes that the engine sends afterwards must
   * not be forwarded: a response that ends with its connection looks complete
   * after a reset. */
  readonly ended: () => boolean;
}

/** An engine's error response, read into memory. */
export interface BufferedResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Why an attempt failed. */
export function failureReason(outcome: AttemptOutcome): string {
  return "reason" in outcome ? outcome.reason : "engine_error";
}

/** Whether an attempt ended without the request's end. */
export function isFailure({ kind }: AttemptOutcome): boolean {
  return kind === "not_run" || kind === "failed" || kind === "error_answer" ||
    kind === "broken";
}
