/** The interface of the platform's object API, with versions, conditional
 * updates and watches.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { StoreError } from "./store_error.ts";

/** Kinds of objects that are kept in the store. */
export type StoredKind = "session" | "fleet" | "intent" | "manifest" | "part";

/** Identifies one object. */
export interface StoreKey {
  readonly kind: StoredKind;
  readonly name: string;
}

/** An object's value and its version, on which a conditional update depends. */
export interface Versioned<T> {
  readonly version: string;
  readonly value: T;
}

/** Result of a watch. `object` is `undefined` if the object has not changed or
 * has been removed. */
export interface WatchReply<T> {
  readonly changed: boolean;
  readonly object: Versioned<T> | undefined;
}

/** Abort signal and timeout of a call. */
export interface CallOptions {
  readonly signal?: AbortSignal;
  readonly timeout_ms?: number;
}

/** Client of the object API. Every method makes one call, which counts towards
 * the API's rate limits. */
export abstract class ObjectStore {
  /** Reads an object. Errors: `not_found`, `unavailable`, `throttled`. */
  abstract get<T>(
    key: StoreKey,
    options?: CallOptions,
  ): ResultAsync<Versioned<T>, StoreError>;

  /** Reads the names of all objects of a kind. */
  abstract list(
    kind: StoredKind,
    options?: CallOptions,
  ): ResultAsync<readonly string[], StoreError>;

  /** Creates an object and returns its version. Error `conflict`: the object
   * exists already. */
  abstract create<T>(
    key: StoreKey,
    value: T,
    options?: CallOptions,
  ): ResultAsync<string, StoreError>;

  /** Replaces the object and returns its new version. Error `conflict`: the
   * object no longer has `base.version`. */
  abstract update<T>(
    key: StoreKey,
    base: Versioned<T>,
    options?: CallOptions,
  ): ResultAsync<string, StoreError>;

  /** Removes the object. Error `conflict`: it no longer has `version`. */
  abstract remove(
    key: StoreKey,
    version: string,
    options?: CallOptions,
  ): ResultAsync<void, StoreError>;

  /** Waits at most `wait_ms` until the object's version differs from `version`,
   * which is `undefined` if the object has not been read before. */
  abstract watch<T>(
    key: StoreKey,
    version: string | undefined,
    options: CallOptions & { readonly wait_ms: number },
  ): ResultAsync<WatchReply<T>, StoreError>;

  /** Aborts open calls and releases connections. */
  abstract close(): Promise<void>;
}
