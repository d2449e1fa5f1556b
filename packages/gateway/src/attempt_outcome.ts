/** How attempts at engines end.
 *
 * @module
 */

/** How one attempt ended. */
export type AttemptOutcome =
  /** The answer was passed on whole, or the caller left. */
  | { readonly kind: "finished" }
  /** Certainly not run. */
  | { readonly kind: "not_run"; readonly reason: string }
  /** May have run; nothing was passed on. */
  | { readonly kind: "failed"; readonly reason: string }
  /** An error of the engine, kept to be passed on if need be. */
  | { readonly kind: "error_answer"; readonly answer: BufferedResponse }
  /** Broke off after events had been passed on. */
  | { readonly kind: "broken"; readonly reason: string }
  /** Given up here, since another engine is ready to take the request. */
  | { readonly kind: "moved"; readonly reason: string }
  /** The request's time is over. */
  | { readonly kind: "timed_out" };

/** Ends an attempt; only the first end counts. */
export interface AttemptSettler {
  (outcome: AttemptOutcome): void;
  /** Whether the attempt has ended: what still comes must not be passed on. An
   * answer that ends with its connection looks complete after a reset. */
  readonly ended: () => boolean;
}

/** An engine's error answer. */
export interface BufferedResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}
