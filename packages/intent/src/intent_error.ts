/** Errors of taking a call's intent.
 *
 * @module
 */

/** The idempotency key was already used with a different request body. */
export interface KeyReusedError {
  readonly kind: "key_reused";
  readonly message: string;
}

/** The intent could not be recorded in time. The call must not be sent, even if
 * the store applies the write later. */
export interface IntentStoreUnavailableError {
  readonly kind: "store_unavailable";
  readonly message: string;
  readonly not_run: true;
  readonly retry_after_ms: number;
}

/** Any error of {@linkcode IntentLog.take}. */
export type IntentError = KeyReusedError | IntentStoreUnavailableError;
