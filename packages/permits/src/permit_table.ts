/** The outstanding permits of one target, kept by its owner.
 *
 * @module
 */
import type { RequestClass } from "@banyanlb/core";
import type { HeldPermit } from "./types.ts";

/** A permit that has neither been released nor expired. Times are monotonic
 * milliseconds of the owner. */
export interface OutstandingPermit {
  readonly id: string;
  readonly session: string;
  readonly version: string | undefined;
  readonly workspace: string;
  readonly tokens: number;
  /** Class whose queue share was charged; `undefined` if a former owner granted
   * the permit. */
  readonly class?: RequestClass;
  /** The request's deadline. */
  readonly deadline_at: number;
  /** Deadline plus the margin for clock drift, transit and cancellation. */
  readonly expires_at: number;
}

/** Key of a permit. It includes the session because ids are unique only within
 * a session. */
export function permitKey(session: string, id: string): string {
  return `${session}/${id}`;
}

/** Outstanding permits by key, counted by version.
 *
 * @example
 * ```ts
 * const permits = new PermitTable();
 * permits.add(permit);
 * permits.countOf(permit.version); // 1
 * ```
 */
export class PermitTable {
  readonly #permits = new Map<string, OutstandingPermit>();
  readonly #by_version = new Map<string, number>();

  /** Number of outstanding permits. */
  get size(): number {
    return this.#permits.size;
  }

  /** Number of outstanding permits of one version. */
  countOf(version: string): number {
    return this.#by_version.get(version) ?? 0;
  }

  /** The permit with this key. */
  get(key: string): OutstandingPermit | undefined {
    return this.#permits.get(key);
  }

  /** Adds a permit, replacing any permit with the same key. */
  add(permit: OutstandingPermit): void {
    const key = permitKey(permit.session, permit.id);
    this.remove(key);
    this.#permits.set(key, permit);
    this.#adjustCount(permit.version, 1);
  }

  /** Removes and returns the permit with this key, if there is one. */
  remove(key: string): OutstandingPermit | undefined {
    const permit = this.#permits.get(key);
    if (permit === undefined) return undefined;
    this.#permits.delete(key);
    this.#adjustCount(permit.version, -1);
    return permit;
  }

  /** Removes and returns the permits whose `expires_at` has passed. */
  expire(now: number): readonly OutstandingPermit[] {
    const expired = [...this.#permits.values()]
      .filter((permit) => permit.expires_at <= now);
    for (const permit of expired) {
      this.remove(permitKey(permit.session, permit.id));
    }
    return expired;
  }

  /** Earliest `expires_at` of a permit, or infinity. */
  nextExpiry(): number {
    let earliest = Infinity;
    for (const permit of this.#permits.values()) {
      earliest = Math.min(earliest, permit.expires_at);
    }
    return earliest;
  }

  /** All permits in the form that is passed to the next owner. */
  toHeldPermits(now: number): readonly HeldPermit[] {
    return [...this.#permits.values()].map((permit) => ({
      id: permit.id,
      session: permit.session,
      version: permit.version,
      workspace: permit.workspace,
      tokens: permit.tokens,
      remaining_ms: Math.max(0, permit.deadline_at - now),
    }));
  }

  #adjustCount(version: string | undefined, by: number): void {
    if (version === undefined) return;
    const count = this.countOf(version) + by;
    if (count === 0) this.#by_version.delete(version);
    else this.#by_version.set(version, count);
  }
}
