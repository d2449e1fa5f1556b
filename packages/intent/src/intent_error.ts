/** Why a call could not be taken.
 *
 * @module
 */

/** The idempotency key was used with another body. */
export interface KeyReusedError {
  readonly kind: "key_reused";
  readonly message: string;
}

/** The store did not answer in time. This attempt sends nothing, whatever
 * becomes of its record. */
export interface IntentStoreUnavailableError {
  readonly kind: "store_unavailable";
  readonly message: string;
  readonly not_run: true;
  readonly retry_after_ms: number;
}

/** Any error of {@linkcode IntentLog.take}. */
export type IntentError = KeyReusedError | IntentStoreUnavailableError;
