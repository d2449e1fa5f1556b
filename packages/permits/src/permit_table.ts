/** The permits of one target that its owner counts as in use.
 *
 * @module
 */
import type { RequestClass } from "@banyanlb/core";
import type { HeldPermit } from "./types.ts";

/** One outstanding permit. Times are monotonic milliseconds of the owner. */
export interface OutstandingPermit {
  readonly id: string;
  readonly session: string;
  readonly version: string | undefined;
  readonly workspace: string;
  readonly tokens: number;
  /** Class that was charged; `undefined` if a former owner granted it. */
  readonly class?: RequestClass;
  /** The request's deadline. */
  readonly deadline_at: number;
  /** Deadline with the margin for drift and transit. */
  readonly expires_at: number;
}

/** Identifies a permit: ids are unique within a session only. */
export function permitKey(session: string, id: string): string {
  return `${session}/${id}`;
}

/** Outstanding permits by key, counted by version.
 *
 * @example
 * ```ts
 * const book = new PermitBook();
 * book.add(permit);
 * book.countOf(permit.version); // 1
 * ```
 */
export class PermitTable {
  readonly #permits = new Map<string, OutstandingPermit>();
  readonly #by_version = new Map<string, number>();

  /** Number of outstanding permits. */
  get size(): number {
    return this.#permits.size;
  }

  /** Outstanding permits of one version. */
  countOf(version: string): number {
    return this.#by_version.get(version) ?? 0;
  }

  /** The permit with this key. */
  get(key: string): OutstandingPermit | undefined {
    return this.#permits.get(key);
  }

  /** Adds a permit; one with the same key is replaced. */
  add(permit: OutstandingPermit): void {
    const key = permitKey(permit.session, permit.id);
    this.remove(key);
    this.#permits.set(key, permit);
    this.#adjustCount(permit.version, 1);
  }

  /** Removes a permit, if it is there. */
  remove(key: string): OutstandingPermit | undefined {
    const permit = this.#permits.get(key);
    if (permit === undefined) return undefined;
    this.#permits.delete(key);
    this.#adjustCount(permit.version, -1);
    return permit;
  }

  /** Removes and yields the permits whose margin has passed. */
  expire(now: number): readonly OutstandingPermit[] {
    const expired = [...this.#permits.values()]
      .filter((permit) => permit.expires_at <= now);
    for (const permit of expired) {
      this.remove(permitKey(permit.session, permit.id));
    }
    return expired;
  }

  /** Earliest expiry, or infinity. */
  nextExpiry(): number {
    let earliest = Infinity;
    for (const permit of this.#permits.values()) {
      earliest = Math.min(earliest, permit.expires_at);
    }
    return earliest;
  }

  /** All permits in the form that is handed off. */
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
