/** A conditional write of a session's object, and the resolution of a write
 * whose response was lost.
 *
 * @module
 */
import type {
  Clock,
  ObjectStore,
  Session,
  StoreError,
  StoreKey,
  Versioned,
} from "@banyanlb/core";

/** Outcome of a write.
 *
 * - `landed`: the write took effect, not before `sent_at`.
 * - `lost`: the write will never take effect; `object` is the stored object, or
 *   `undefined` if it was removed.
 * - `unsent`: the write has certainly had no effect so far.
 * - `in_doubt`: the write may have taken effect or may still do so.
 */
export type WriteOutcome =
  | {
    readonly kind: "landed";
    readonly version: string;
    readonly sent_at: number;
  }
  | { readonly kind: "lost"; readonly object: Versioned<Session> | undefined }
  | { readonly kind: "unsent"; readonly error: StoreError }
  | { readonly kind: "in_doubt"; readonly error: StoreError };

/** Dependencies and content of a write. `base_version` is `undefined` if the
 * write creates the object. */
export interface SessionWriteOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly value: Session;
  readonly base_version: string | undefined;
  readonly timeout_ms: number;
}

/** Returns the store key of a session's object. */
export function sessionKey(id: string): StoreKey {
  return { kind: "session", name: id };
}

/** A write that may be retried until its outcome is certain. All attempts have
 * the same base version and the same `write_id`, so at most one of them takes
 * effect, and none does once the object has another version. */
export class SessionWrite {
  readonly value: Session;
  readonly #options: SessionWriteOptions;
  readonly #key: StoreKey;
  #first_sent_at: number | undefined;
  #is_in_doubt = false;
  #is_superseded = false;
  #has_seen_base = false;

  constructor(options: SessionWriteOptions) {
    this.#options = options;
    this.value = options.value;
    this.#key = sessionKey(options.value.id);
  }

  /** Sends the write. If the outcome of an earlier attempt is uncertain, reads
   * the object first and sends again only if the base version is still
   * stored. */
  async attempt(): Promise<WriteOutcome> {
    if (this.#is_in_doubt || this.#is_superseded) {
      this.#has_seen_base = false;
      const outcome = await this.readBack();
      if (!this.#has_seen_base) return outcome;
    }
    const sent_at = this.#options.clock.now();
    this.#first_sent_at ??= sent_at;
    const result = await this.#send();
    if (result.isOk()) {
      return { kind: "landed", version: result.value, sent_at };
    }
    const error = result.error;
    if (error.kind === "conflict" || error.kind === "not_found") {
      this.#is_superseded = true;
      return await this.readBack();
    }
    if (error.kind === "unavailable") this.#is_in_doubt = true;
    return this.#unresolvedOutcome(error);
  }

  /** Determines the outcome by comparing the stored `write_id` with that of
   * this write, without sending the write. */
  async readBack(): Promise<WriteOutcome> {
    const { store, timeout_ms } = this.#options;
    const result = await store.get<Session>(this.#key, { timeout_ms });
    if (result.isErr()) {
      if (result.error.kind !== "not_found") {
        return this.#unresolvedOutcome(result.error);
      }
      if (this.#options.base_version !== undefined) {
        return { kind: "lost", object: undefined };
      }
      // A create may still take effect while the object is missing.
      this.#has_seen_base = true;
      return this.#unresolvedOutcome(result.error);
    }
    const { version, value } = result.value;
    if (value.write_id === this.value.write_id) {
      const sent_at = this.#first_sent_at ?? this.#options.clock.now();
      return { kind: "landed", version, sent_at };
    }
    if (version === this.#options.base_version) {
      this.#has_seen_base = true;
      return this.#unresolvedOutcome({
        kind: "unavailable",
        message: "the write has not taken effect yet; repeat it",
      });
    }
    return { kind: "lost", object: result.value };
  }

  #send() {
    const { store, base_version, timeout_ms } = this.#options;
    if (base_version === undefined) {
      return store.create(this.#key, this.value, { timeout_ms });
    }
    const base = { version: base_version, value: this.value };
    return store.update(this.#key, base, { timeout_ms });
  }

  #unresolvedOutcome(error: StoreError): WriteOutcome {
    const is_in_doubt = this.#is_in_doubt || this.#is_superseded;
    return { kind: is_in_doubt ? "in_doubt" : "unsent", error };
  }
}
