/** All targets that this instance owns.
 *
 * @module
 */
import type { Target } from "@banyanlb/core";
import { RETRY_AFTER_MS } from "./constants.ts";
import { events } from "./events.ts";
import { type HoldOptions, OwnedTarget } from "./owned_target.ts";
import type { OwnerDeps } from "./target_state.ts";
import type {
  PermitAcquireRequest,
  PermitRelease,
  PermitReply,
  TargetHandoff,
} from "./types.ts";

/** Grants permits for every target that this instance owns.
 *
 * @example
 * ```ts
 * const owners = new OwnerTable(deps);
 * owners.hold({ target, epoch: 7, versions, known_members });
 * const reply = await owners.acquire(request);
 * await owners.close();
 * ```
 */
export class OwnerTable {
  readonly #deps: OwnerDeps;
  readonly #targets = new Map<string, OwnedTarget>();
  readonly #ended_members = new Set<string>();

  constructor(deps: OwnerDeps) {
    this.#deps = deps;
  }

  /** Names of the owned targets. */
  get targets(): readonly string[] {
    return [...this.#targets.keys()];
  }

  /** Number of outstanding permits of a target. */
  running(target: string): number {
    return this.#targets.get(target)?.running ?? 0;
  }

  /** Starts to own a target. If this instance already owns it, a higher epoch
   * replaces that ownership, and an equal or lower one has no effect. */
  hold(options: HoldOptions): void {
    const name = options.target.name;
    const old = this.#targets.get(name);
    if (old !== undefined && old.epoch >= options.epoch) return;
    void old?.close();
    const owned = new OwnedTarget(this.#deps, options);
    for (const member of this.#ended_members) owned.memberEnded(member);
    this.#targets.set(name, owned);
  }

  /** Stops granting permits and sending orders for a target and returns the
   * state for its next owner. Returns `undefined` if the target is not owned or
   * its state is not yet certain. Call {@linkcode drop} afterwards. */
  quiesce(target: string): Promise<TargetHandoff | undefined> {
    return this.#targets.get(target)?.quiesce() ?? Promise.resolve(undefined);
  }

  /** Stops owning a target without a handoff. */
  async drop(target: string): Promise<void> {
    const owned = this.#targets.get(target);
    if (owned === undefined) return;
    this.#targets.delete(target);
    this.#deps.log.write(events.target_dropped, { target });
    await owned.close();
  }

  /** Replaces a target's configuration. */
  updateTarget(target: Target): void {
    this.#targets.get(target.name)?.update(target);
  }

  /** Records that a member's session has ended. */
  memberEnded(member: string): void {
    this.#ended_members.add(member);
    for (const owned of this.#targets.values()) owned.memberEnded(member);
  }

  /** Processes the releases in the request, then waits for the permit. */
  async acquire(
    request: PermitAcquireRequest,
    signal?: AbortSignal,
  ): Promise<PermitReply> {
    const untaken = this.release(request.session, request.releases ?? []);
    const owned = this.#targets.get(request.target);
    const reply = owned === undefined
      ? { kind: "not_owner" as const, retry_after_ms: RETRY_AFTER_MS }
      : await owned.acquire(request, signal);
    return untaken.length === 0 ? reply : { ...reply, untaken };
  }

  /** Releases permits. Returns the ids of the releases that were not processed:
   * the session must send them again, to this owner or to the next one. */
  release(
    session: string,
    releases: readonly PermitRelease[],
  ): readonly string[] {
    return releases
      .filter((release) => !this.#releaseOne(session, release))
      .map((release) => release.id);
  }

  /** Stops owning all targets. */
  async close(): Promise<void> {
    await Promise.all(this.targets.map((target) => this.drop(target)));
  }

  #releaseOne(session: string, release: PermitRelease): boolean {
    const owned = this.#targets.get(release.target);
    return owned?.release(session, release) ?? false;
  }
}
