/** Errors of the object store.
 *
 * @module
 */

/** The object exists already, or its version differs from the one on which the
 * write was based. */
export interface ConflictError {
  readonly kind: "conflict";
  readonly message: string;
}

/** The object does not exist. */
export interface NotFoundError {
  readonly kind: "not_found";
  readonly message: string;
}

/** The store did not respond. A write may or may not have taken effect. */
export interface UnavailableError {
  readonly kind: "unavailable";
  readonly message: string;
}

/** The store's rate limit was exceeded. The call did not take effect. */
export interface ThrottledError {
  readonly kind: "throttled";
  readonly message: string;
  readonly retry_after_ms: number;
}

/** The store rejected the call as malformed, or the client could not decode the
 * response. */
export interface InvalidError {
  readonly kind: "invalid";
  readonly message: string;
}

/** Any error of the object store. */
export type StoreError =
  | ConflictError
  | NotFoundError
  | UnavailableError
  | ThrottledError
  | InvalidError;
