/** An in-memory object store with fault injection.
 *
 * @module
 */
import { err, ok, okAsync, type Result, ResultAsync } from "neverthrow";
import {
  type CallOptions,
  ObjectStore,
  type StoredKind,
  type StoreKey,
  type Versioned,
  type WatchReply,
} from "./object_store.ts";
import type { StoreError } from "./store_error.ts";

/** The fault that is injected into one call.
 *
 * - `none`: the call takes effect and yields its result.
 * - `unavailable`: the call has no effect and fails as `unavailable`.
 * - `lost_answer`: the call takes effect and fails as `unavailable`.
 * - `throttled`: the call has no effect and fails as `throttled`.
 * - `late`: the call fails as `unavailable` at once and takes effect when
 *   `until` resolves. */
export type StoreFault =
  | { readonly kind: "none" }
  | { readonly kind: "unavailable" }
  | { readonly kind: "lost_answer" }
  | { readonly kind: "throttled"; readonly retry_after_ms: number }
  | { readonly kind: "late"; readonly until: Promise<void> };

/** A call, as passed to the fault hook. */
export interface StoreCall {
  readonly method: "get" | "list" | "create" | "update" | "remove" | "watch";
  readonly kind: StoredKind;
  /** Empty for `list`. */
  readonly name: string;
}

/** Chooses the fault of a call. If it returns a promise, the call waits for
 * it. */
export type FaultHook = (call: StoreCall) => StoreFault | Promise<StoreFault>;

/** Called after each write that took effect. `value` is `undefined` if the
 * object was removed. */
export type WriteListener = (key: StoreKey, value: unknown) => void;

interface StoredRow {
  readonly version: string;
  readonly json: string;
}

const NO_FAULT: StoreFault = { kind: "none" };

const UNAVAILABLE: StoreError = {
  kind: "unavailable",
  message: "the store did not respond; read the object back, then retry",
};

function conflict(id: string): StoreError {
  return {
    kind: "conflict",
    message: `${id} has a different version; read it again and retry`,
  };
}

function notFound(id: string): StoreError {
  return { kind: "not_found", message: `${id} is missing; create it first` };
}

/** An object store that keeps its objects in memory, for embedding and tests.
 *
 * @example
 * ```ts
 * const store = new MemoryObjectStore();
 * await store.create({ kind: "part", name: "a" }, { objects: [] });
 * store.setFaults(() => ({ kind: "unavailable" }));
 * (await store.get({ kind: "part", name: "a" })).isErr(); // true
 * ```
 */
export class MemoryObjectStore extends ObjectStore {
  readonly #rows = new Map<string, StoredRow>();
  readonly #listeners = new Set<WriteListener>();
  readonly #watch_wakers = new Set<() => void>();
  #fault_hook: FaultHook = () => NO_FAULT;
  #next_version = 1;
  #closed = false;

  /** Replaces the fault hook. Without an argument, no faults are injected. */
  setFaults(hook: FaultHook = () => NO_FAULT): void {
    this.#fault_hook = hook;
  }

  /** Registers a listener for writes. Returns a function that removes it. */
  onWrite(listener: WriteListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  override get<T>(key: StoreKey): ResultAsync<Versioned<T>, StoreError> {
    return this.#call({ method: "get", ...key }, () => this.#read<T>(key));
  }

  override list(
    kind: StoredKind,
  ): ResultAsync<readonly string[], StoreError> {
    return this.#call({ method: "list", kind, name: "" }, () => {
      const prefix = `${kind}/`;
      const ids = [...this.#rows.keys()].filter((id) => id.startsWith(prefix));
      return ok(ids.map((id) => id.slice(prefix.length)));
    });
  }

  override create<T>(
    key: StoreKey,
    value: T,
  ): ResultAsync<string, StoreError> {
    const json = JSON.stringify(value);
    return this.#call({ method: "create", ...key }, () => {
      const id = idOf(key);
      if (this.#rows.has(id)) return err(conflict(id));
      return ok(this.#write(key, json));
    });
  }

  override update<T>(
    key: StoreKey,
    base: Versioned<T>,
  ): ResultAsync<string, StoreError> {
    const json = JSON.stringify(base.value);
    return this.#call({ method: "update", ...key }, () => {
      const id = idOf(key);
      const row = this.#rows.get(id);
      if (row === undefined) return err(notFound(id));
      if (row.version !== base.version) return err(conflict(id));
      return ok(this.#write(key, json));
    });
  }

  override remove(
    key: StoreKey,
    version: string,
  ): ResultAsync<void, StoreError> {
    return this.#call({ method: "remove", ...key }, () => {
      const id = idOf(key);
      const row = this.#rows.get(id);
      if (row === undefined) return err(notFound(id));
      if (row.version !== version) return err(conflict(id));
      this.#rows.delete(id);
      this.#notifyListeners(key, undefined);
      return ok(undefined);
    });
  }

  override watch<T>(
    key: StoreKey,
    version: string | undefined,
    options: CallOptions & { readonly wait_ms: number },
  ): ResultAsync<WatchReply<T>, StoreError> {
    const checkForChange = () => this.#checkForChange<T>(key, version);
    const call = { method: "watch" as const, ...key };
    return this.#call(call, checkForChange).andThen((reply) => {
      if (reply.changed) return okAsync(reply);
      return new ResultAsync(this.#waitForChange(checkForChange, options));
    });
  }

  override close(): Promise<void> {
    this.#closed = true;
    this.#wakeWatches();
    return Promise.resolve();
  }

  #call<T>(
    call: StoreCall,
    effect: () => Result<T, StoreError>,
  ): ResultAsync<T, StoreError> {
    return new ResultAsync(this.#runWithFault(call, effect));
  }

  async #runWithFault<T>(
    call: StoreCall,
    effect: () => Result<T, StoreError>,
  ): Promise<Result<T, StoreError>> {
    const fault = await this.#fault_hook(call);
    if (this.#closed || fault.kind === "unavailable") return err(UNAVAILABLE);
    if (fault.kind === "throttled") {
      const { retry_after_ms } = fault;
      const message = "over the store's limits; wait for retry_after_ms";
      return err({ kind: "throttled", message, retry_after_ms });
    }
    if (fault.kind === "late") {
      void fault.until.then(effect);
      return err(UNAVAILABLE);
    }
    const result = effect();
    return fault.kind === "lost_answer" ? err(UNAVAILABLE) : result;
  }

  #read<T>(key: StoreKey): Result<Versioned<T>, StoreError> {
    const row = this.#rows.get(idOf(key));
    if (row === undefined) return err(notFound(idOf(key)));
    return ok({ version: row.version, value: JSON.parse(row.json) as T });
  }

  #checkForChange<T>(
    key: StoreKey,
    version: string | undefined,
  ): Result<WatchReply<T>, StoreError> {
    const stored = this.#read<T>(key);
    if (stored.isErr()) {
      return ok({ changed: version !== undefined, object: undefined });
    }
    if (stored.value.version === version) {
      return ok({ changed: false, object: undefined });
    }
    return ok({ changed: true, object: stored.value });
  }

  /** Waits for a change. `wait_ms` is real time, also in tests with a
   * `ManualClock`. */
  async #waitForChange<T>(
    check: () => Result<WatchReply<T>, StoreError>,
    options: CallOptions & { readonly wait_ms: number },
  ): Promise<Result<WatchReply<T>, StoreError>> {
    await new Promise<void>((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#watch_wakers.delete(finish);
        options.signal?.removeEventListener("abort", finish);
        resolve();
      };
      const timer = setTimeout(finish, options.wait_ms);
      this.#watch_wakers.add(finish);
      options.signal?.addEventListener("abort", finish);
      if (this.#closed || options.signal?.aborted === true) finish();
      // The object may have been written since the first check.
      if (check().map((reply) => reply.changed).unwrapOr(true)) finish();
    });
    if (this.#closed) return err(UNAVAILABLE);
    return options.signal?.aborted === true ? err(UNAVAILABLE) : check();
  }

  #write(key: StoreKey, json: string): string {
    const version = String(this.#next_version++);
    this.#rows.set(idOf(key), { version, json });
    this.#notifyListeners(key, JSON.parse(json));
    return version;
  }

  #notifyListeners(key: StoreKey, value: unknown): void {
    for (const listener of this.#listeners) listener(key, value);
    this.#wakeWatches();
  }

  #wakeWatches(): void {
    for (const waker of [...this.#watch_wakers]) waker();
  }
}

function idOf(key: StoreKey): string {
  return `${key.kind}/${key.name}`;
}
