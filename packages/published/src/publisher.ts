/** Publishes changes: each is validated as a whole and takes effect by one
 * conditional update of the manifest.
 *
 * @module
 */
import type {
  Clock,
  EventLog,
  Manifest,
  Metrics,
  ObjectStore,
  StoreError,
  Versioned,
} from "@banyanlb/core";
import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import {
  MAX_PUBLISH_ATTEMPTS,
  PUBLISH_CALL_TIMEOUT_MS,
  PUBLISH_RETRY_BASE_MS,
} from "./constants.ts";
import { type InDoubtWrite, resolveInDoubtWrite } from "./in_doubt_write.ts";
import { checkEdits, type Edits, toChange } from "./edits.ts";
import { notPublished, outcomeUnknown, type PublishError } from "./errors.ts";
import { CHANGE_PUBLISHED } from "./events.ts";
import { ManifestCompactor } from "./manifest_compactor.ts";
import type { ConfigFollower } from "./follower.ts";
import { loadSnapshot } from "./load.ts";
import { EMPTY_MANIFEST, MANIFEST_KEY } from "./manifest.ts";
import type { Snapshot } from "./snapshot.ts";

/** The result of a successful publish. */
export interface PublishedChange {
  readonly generation: number;
}

/** Dependencies of a {@linkcode Publisher}. */
export interface PublisherDeps {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly follower: ConfigFollower;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

interface BaseManifest {
  /** Store version of the manifest; `undefined`: no manifest exists yet. */
  readonly version: string | undefined;
  readonly manifest: Manifest;
}

interface PreparedWrite {
  readonly base: BaseManifest;
  readonly manifest: Manifest;
  readonly snapshot: Snapshot;
}

interface Attempt {
  readonly edits: Edits;
  readonly write_id: string;
  /** An earlier write of this publish whose reply was lost. */
  readonly doubt: InDoubtWrite | undefined;
}

type AttemptOutcome =
  | { readonly done: Result<PublishedChange, PublishError> }
  | { readonly doubt: InDoubtWrite | undefined; readonly error: StoreError };

/** Publishes changes from this instance. Any number of instances may publish
 * concurrently.
 *
 * @example
 * ```ts
 * const result = await publisher.publish({
 *   put: [{ object: { kind: "model", name: "base" }, base: null }],
 *   remove: [],
 * });
 * if (result.isErr()) console.error(result.error.message);
 * ```
 */
export class Publisher {
  readonly #deps: PublisherDeps;
  readonly #compactor: ManifestCompactor;

  constructor(deps: PublisherDeps) {
    this.#deps = deps;
    this.#compactor = new ManifestCompactor(deps);
  }

  /** Publishes a change and installs it on this instance. Errors: `conflict`,
   * `rejected`, `not_published`, `outcome_unknown`. */
  async publish(edits: Edits): Promise<Result<PublishedChange, PublishError>> {
    const write_id = randomUUID();
    let doubt: InDoubtWrite | undefined;
    let last_error: StoreError = { kind: "unavailable", message: "not tried" };
    for (let i = 0; i < MAX_PUBLISH_ATTEMPTS; i++) {
      if (i > 0) await this.#backOff(last_error, i);
      const outcome = await this.#attempt({ edits, write_id, doubt });
      if ("done" in outcome) return this.#report(outcome.done);
      doubt = outcome.doubt;
      last_error = outcome.error;
      this.#deps.metrics.count("publish.retry", { reason: last_error.kind });
    }
    const error = doubt === undefined
      ? notPublished(last_error)
      : outcomeUnknown(`the store answered ${last_error.kind}`);
    return this.#report(err(error));
  }

  /** Checks a change against the snapshot in force without publishing it. */
  check(edits: Edits): Result<void, PublishError> {
    const snapshot = this.#deps.follower.current();
    if (snapshot === undefined) {
      return err(notPublished({
        kind: "unavailable",
        message: "no configuration in force yet",
      }));
    }
    return checkEdits(snapshot, edits, toChange(edits, snapshot, ""));
  }

  /** Waits for a compaction that an earlier publish started. */
  async waitForCompaction(): Promise<void> {
    await this.#compactor.waitForCompaction();
  }

  /** Waits for the compaction in progress, if any. */
  async close(): Promise<void> {
    await this.#compactor.close();
  }

  #report(
    result: Result<PublishedChange, PublishError>,
  ): Result<PublishedChange, PublishError> {
    const { log, metrics } = this.#deps;
    const outcome = result.isOk() ? "published" : result.error.kind;
    metrics.count("publish.outcome", { outcome });
    if (result.isOk()) log.write(CHANGE_PUBLISHED, { ...result.value });
    return result;
  }

  async #backOff(error: StoreError, attempt: number): Promise<void> {
    if (error.kind === "conflict") return;
    const backoff_ms = error.kind === "throttled"
      ? error.retry_after_ms
      : PUBLISH_RETRY_BASE_MS * 2 ** attempt;
    await this.#deps.clock.sleep(backoff_ms);
  }

  async #attempt(attempt: Attempt): Promise<AttemptOutcome> {
    const { doubt } = attempt;
    const read = await this.#readBase();
    if (read.isErr()) return { doubt, error: read.error };
    const resolved = resolveInDoubtWrite(doubt, read.value, attempt.write_id);
    if (resolved.state === "published") {
      return { done: ok({ generation: resolved.generation }) };
    }
    if (resolved.state === "unknown") {
      const detail = "the answer was lost and later changes hide the outcome";
      return { done: err(outcomeUnknown(detail)) };
    }
    const still_in_doubt = resolved.state === "open" ? doubt : undefined;
    const prepared = await this.#prepare(read.value, attempt);
    if (prepared.isErr()) {
      const error = prepared.error;
      if (error.kind !== "store") return { done: err(error) };
      return { doubt: still_in_doubt, error: error.cause };
    }
    return await this.#write(prepared.value, still_in_doubt);
  }

  async #readBase(): Promise<Result<BaseManifest, StoreError>> {
    const read = await this.#deps.store.get<Manifest>(MANIFEST_KEY, {
      timeout_ms: PUBLISH_CALL_TIMEOUT_MS,
    });
    if (read.isOk()) {
      return ok({ version: read.value.version, manifest: read.value.value });
    }
    if (read.error.kind !== "not_found") return err(read.error);
    return ok({ version: undefined, manifest: EMPTY_MANIFEST });
  }

  async #prepare(
    base: BaseManifest,
    attempt: Attempt,
  ): Promise<
    Result<PreparedWrite, PublishError | { kind: "store"; cause: StoreError }>
  > {
    const { store, follower } = this.#deps;
    const in_force = follower.current();
    if (
      in_force !== undefined && in_force.generation > base.manifest.generation
    ) {
      // Either another publish finished after the read, or the store has
      // reverted. The next attempt reads the manifest again and distinguishes
      // the two.
      const cause = behindInForceError(
        base.manifest.generation,
        in_force.generation,
      );
      return err({ kind: "store", cause });
    }
    const loaded = await loadSnapshot(store, base.manifest, in_force);
    if (loaded.isErr()) return err({ kind: "store", cause: loaded.error });
    const change = toChange(attempt.edits, loaded.value, attempt.write_id);
    const checked = checkEdits(loaded.value, attempt.edits, change);
    if (checked.isErr()) return err(checked.error);
    const extended = await this.#compactor.extend(base.manifest, {
      change,
      snapshot: loaded.value.apply(change),
    });
    if (extended.isErr()) return err({ kind: "store", cause: extended.error });
    return ok({ base, ...extended.value });
  }

  async #write(
    prepared: PreparedWrite,
    still_in_doubt: InDoubtWrite | undefined,
  ): Promise<AttemptOutcome> {
    const { base, manifest, snapshot } = prepared;
    const written = await writeManifest(this.#deps.store, base, manifest);
    if (written.isOk()) {
      this.#deps.follower.adopt(manifest, snapshot);
      const version = written.value;
      this.#compactor.compactIfLarge({ version, value: manifest }, snapshot);
      return { done: ok({ generation: manifest.generation }) };
    }
    const error = written.error;
    if (error.kind !== "unavailable") return { doubt: still_in_doubt, error };
    const { generation } = manifest;
    return { doubt: { base_version: base.version, generation }, error };
  }
}

function writeManifest(
  store: ObjectStore,
  base: BaseManifest,
  manifest: Manifest,
): Promise<Result<string, StoreError>> {
  const options = { timeout_ms: PUBLISH_CALL_TIMEOUT_MS };
  if (base.version === undefined) {
    return Promise.resolve(store.create(MANIFEST_KEY, manifest, options));
  }
  const next: Versioned<Manifest> = { version: base.version, value: manifest };
  return Promise.resolve(store.update(MANIFEST_KEY, next, options));
}

function behindInForceError(stored: number, in_force: number): StoreError {
  return {
    kind: "invalid",
    message: `the store shows generation ${stored}, ${in_force} is in force; ` +
      "restore the store's newest manifest",
  };
}
