/** Polls the store for the published configuration and installs each new
 * generation.
 *
 * @module
 */
import type { Manifest, StoreError, WatchReply } from "@banyanlb/core";
import type { Result } from "neverthrow";
import {
  MAX_START_PEERS,
  POLL_RETRY_BASE_MS,
  POLL_RETRY_MAX_MS,
} from "./constants.ts";
import {
  GENERATION_IN_FORCE,
  LISTENER_FAILED,
  MANIFEST_REVERTED,
  MANIFEST_UNUSABLE,
  STORE_CONTACT_LOST,
  STORE_CONTACT_RESTORED,
} from "./events.ts";
import type {
  ConfigFollowerDeps,
  ConfigFollowerOptions,
  SnapshotListener,
} from "./follower_options.ts";
import type {
  Evidence,
  FetchReply,
  FetchRequest,
} from "./generated/config_messages.ts";
import { type FreshnessTimes, freshnessTimes } from "./freshness_times.ts";
import { loadSnapshot } from "./load.ts";
import { checkManifest, MANIFEST_KEY, mergeRecent } from "./manifest.ts";
import {
  answerFetch,
  fetchSnapshot,
  type SnapshotInForce,
} from "./peer_fetch.ts";
import { Snapshot } from "./snapshot.ts";

/** Keeps the highest published generation in force on this instance. The
 * generation never decreases.
 *
 * @example
 * ```ts
 * const follower = new ConfigFollower(deps);
 * const unsubscribe = follower.onChange((snapshot) => use(snapshot));
 * follower.start();
 * // Later:
 * unsubscribe();
 * await follower.close();
 * ```
 */
export class ConfigFollower {
  readonly #deps: ConfigFollowerDeps;
  readonly #options: ConfigFollowerOptions;
  readonly #times: FreshnessTimes;
  readonly #stop = new AbortController();
  readonly #listeners = new Set<SnapshotListener>();
  #in_force: SnapshotInForce | undefined;
  #manifest_version: string | undefined;
  #last_contact_at: number | undefined;
  #relayed_contact_at = -Infinity;
  #is_store_answering = false;
  #is_loading = false;
  #install_count = 0;
  #rejected_generation: number | undefined;
  #fetch_in_progress: Promise<boolean> | undefined;
  #failed_polls = 0;
  #task: Promise<void> | undefined;

  constructor(
    deps: ConfigFollowerDeps,
    options: ConfigFollowerOptions = {},
  ) {
    this.#deps = deps;
    this.#options = options;
    this.#times = options.times ?? freshnessTimes();
  }

  /** Starts polling the manifest. Further calls have no effect. */
  start(): void {
    this.#task ??= this.#follow();
  }

  /** The snapshot in force; `undefined` until the first is installed. */
  current(): Snapshot | undefined {
    return this.#in_force?.snapshot;
  }

  /** Generation in force; -1 until the first is installed. */
  get generation(): number {
    return this.#in_force?.snapshot.generation ?? -1;
  }

  /** Start of the last successful poll of the store, in monotonic milliseconds.
   * Everything published before that moment is in force here. */
  lastContact(): number | undefined {
    return this.#last_contact_at;
  }

  /** Whether the follower is loading the snapshot of a new manifest. */
  get isLoading(): boolean {
    return this.#is_loading;
  }

  /** Registers a listener for new snapshots. Returns a function that removes
   * it. */
  onChange(listener: SnapshotListener): () => void {
    this.#listeners.add(listener);
    return () => void this.#listeners.delete(listener);
  }

  /** Records that a peer's evidence proves that everything published before
   * `at` (monotonic milliseconds) is in force here. */
  recordRelayedContact(at: number): void {
    this.#relayed_contact_at = Math.max(this.#relayed_contact_at, at);
  }

  /** The evidence that this instance reports to a peer that requests it: its
   * generation and the age of its last proven contact with the store. */
  evidence(): Evidence {
    const g = this.generation;
    // A relayed contact is forwarded with its original age: relaying never
    // makes evidence younger.
    const at = Math.max(
      this.#last_contact_at ?? -Infinity,
      this.#relayed_contact_at,
    );
    if (at === -Infinity) return { g };
    return { g, a: Math.ceil(this.#deps.clock.now() - at) };
  }

  /** Builds the reply to a peer that fetches the configuration; `undefined`
   * until the first snapshot is installed. */
  answer(request: FetchRequest): FetchReply | undefined {
    return this.#in_force && answerFetch(this.#in_force, request);
  }

  /** Installs a snapshot that this instance has just published. */
  adopt(manifest: Manifest, snapshot: Snapshot): void {
    this.#install({ snapshot, recent: manifest.changes });
  }

  /** Fetches the configuration from a peer. Resolves to whether a higher
   * generation was installed. While a fetch is in progress, further calls wait
   * for that fetch. */
  fetchFrom(member: string): Promise<boolean> {
    // Two concurrent fetches would hold the whole configuration in memory
    // twice.
    this.#fetch_in_progress ??= this.#fetch(member).finally(() => {
      this.#fetch_in_progress = undefined;
    });
    return this.#fetch_in_progress;
  }

  async #fetch(member: string): Promise<boolean> {
    const base = this.current();
    const fetched = await fetchSnapshot(this.#deps.peers, member, base);
    if (fetched === undefined) return false;
    this.#deps.metrics.count("config.fetched_from_peer");
    return this.#install(fetched);
  }

  /** Stops polling and waits for the poll in progress to end. */
  async close(): Promise<void> {
    this.#stop.abort(new Error("follower closed"));
    await this.#task;
  }

  async #follow(): Promise<void> {
    const { signal } = this.#stop;
    await this.#startFromPeer();
    while (!signal.aborted) {
      const started_at = this.#deps.clock.now();
      const installs = this.#install_count;
      const reply = await this.#poll();
      if (signal.aborted) return;
      const is_applied = reply.isOk() &&
        await this.#applyReply(reply.value, installs);
      this.#recordContact(is_applied, reply);
      if (!is_applied) {
        await this.#backOff();
        continue;
      }
      this.#failed_polls = 0;
      this.#last_contact_at = started_at;
    }
  }

  async #startFromPeer(): Promise<void> {
    const nearby = this.#options.nearby_members?.() ?? [];
    for (const member of nearby.slice(0, MAX_START_PEERS)) {
      if (await this.fetchFrom(member)) return;
    }
  }

  #poll(): Promise<Result<WatchReply<Manifest>, StoreError>> {
    // After a failed poll, request an immediate reply instead of a long poll,
    // to detect recovery early.
    const { poll_timeout_ms, poll_wait_ms } = this.#times;
    const wait_ms = this.#is_store_answering ? poll_wait_ms : 0;
    const { signal } = this.#stop;
    const options = { wait_ms, timeout_ms: poll_timeout_ms, signal };
    const { store } = this.#deps;
    return Promise.resolve(
      store.watch<Manifest>(MANIFEST_KEY, this.#manifest_version, options),
    );
  }

  /** Waits after a failed poll, with exponential back-off. */
  async #backOff(): Promise<void> {
    const uncapped_ms = POLL_RETRY_BASE_MS * 2 ** this.#failed_polls;
    const pause_ms = Math.min(POLL_RETRY_MAX_MS, uncapped_ms);
    this.#failed_polls += 1;
    const { clock } = this.#deps;
    await clock.sleep(pause_ms, this.#stop.signal).catch(() => undefined);
  }

  /** Applies the reply to a poll. Resolves to whether the manifest in the reply
   * is now in force. `installs`: value of the install counter when the poll
   * began. */
  async #applyReply(
    reply: WatchReply<Manifest>,
    installs: number,
  ): Promise<boolean> {
    if (!reply.changed && this.#manifest_version !== undefined) return true;
    if (reply.object === undefined) return this.#applyAbsentManifest(installs);
    const { version, value } = reply.object;
    const validated = checkManifest(value);
    if (validated.isErr()) {
      this.#deps.log.write(MANIFEST_UNUSABLE, {
        violations: validated.error.slice(0, 3),
      });
      return false;
    }
    const manifest = validated.value;
    if (manifest.generation < this.generation) {
      return this.#checkLowerGeneration(manifest.generation, installs);
    }
    const is_applied = await this.#applyManifest(manifest);
    if (is_applied) this.#manifest_version = version;
    return is_applied;
  }

  #applyAbsentManifest(installs: number): boolean {
    if (this.generation > 0) return this.#checkLowerGeneration(0, installs);
    this.#install({ snapshot: Snapshot.empty(), recent: [] });
    return true;
  }

  /** Checks a generation below the one in force. It is valid only if a higher
   * generation was installed while the poll was in progress; otherwise the
   * store has reverted and the reply is rejected. */
  #checkLowerGeneration(generation: number, installs: number): boolean {
    if (installs !== this.#install_count) return true;
    this.#deps.metrics.count("config.rejected", { reason: "reverted" });
    if (this.#rejected_generation === generation) return false;
    this.#rejected_generation = generation;
    const in_force = this.generation;
    this.#deps.log.write(MANIFEST_REVERTED, { generation, in_force });
    return false;
  }

  async #applyManifest(manifest: Manifest): Promise<boolean> {
    if (manifest.generation === this.generation) return true;
    const { store, log } = this.#deps;
    this.#is_loading = true;
    const loaded = await loadSnapshot(store, manifest, this.current());
    this.#is_loading = false;
    if (loaded.isErr()) {
      log.write(MANIFEST_UNUSABLE, { error: loaded.error });
      return false;
    }
    // If a higher generation was fetched from a peer during the load, this
    // snapshot is outdated and is not installed.
    this.#install({ snapshot: loaded.value, recent: manifest.changes });
    return true;
  }

  #install(next: SnapshotInForce): boolean {
    if (next.snapshot.generation <= this.generation) return false;
    const previous = this.#in_force;
    this.#install_count++;
    this.#rejected_generation = undefined;
    this.#in_force = {
      snapshot: next.snapshot,
      recent: mergeRecent(previous?.recent ?? [], next.recent),
    };
    const generation = next.snapshot.generation;
    this.#deps.log.write(GENERATION_IN_FORCE, { generation });
    this.#deps.metrics.gauge("config.generation", generation);
    for (const listener of this.#listeners) {
      this.#notify(listener, next.snapshot, previous?.snapshot);
    }
    return true;
  }

  #notify(listener: SnapshotListener, ...args: Parameters<SnapshotListener>) {
    try {
      listener(...args);
    } catch (err) {
      this.#deps.log.write(LISTENER_FAILED, { err });
    }
  }

  #recordContact(
    is_applied: boolean,
    reply: Result<WatchReply<Manifest>, StoreError>,
  ): void {
    const { log, metrics } = this.#deps;
    const reason = reply.isErr() ? reply.error.kind : "unusable";
    if (!is_applied) metrics.count("config.poll_failed", { reason });
    if (is_applied === this.#is_store_answering) return;
    this.#is_store_answering = is_applied;
    log.write(
      is_applied ? STORE_CONTACT_RESTORED : STORE_CONTACT_LOST,
      is_applied ? {} : { reason },
    );
  }
}
