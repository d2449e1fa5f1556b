/** Requests in flight at each engine, of all instances.
 *
 * An instance reports its own counts to the collectors of its group. They add
 * them up for the group, exchange the sums with the other groups, and tell each
 * instance the sum of all others. In a small fleet each instance is a group.
 *
 * @module
 */
import type { LoadScope } from "./digest_message.ts";

/** Counts by engine. */
export type LoadCounts = ReadonlyMap<string, number>;

/** The counts that one instance sent last. */
export interface LoadSource {
  readonly scope: LoadScope;
  /** The sender's group. */
  readonly group: string;
  readonly counts: LoadCounts;
  /** When they arrived, and until when they count: requests of a lost instance
   * end with it. */
  readonly at: number;
  readonly validUntil: number;
}

/** The counts of this instance and of those that report to it. */
export class LoadTotals {
  readonly #sources = new Map<string, LoadSource>();
  #own: LoadCounts = new Map();

  /** Sets this instance's own counts. */
  setOwn(counts: LoadCounts): void {
    this.#own = counts;
  }

  /** This instance's own counts. */
  get own(): LoadCounts {
    return this.#own;
  }

  /** Records the counts of a peer. */
  record(peer: string, source: LoadSource): void {
    this.#sources.set(peer, source);
  }

  /** Forgets counts that are no longer valid. */
  dropExpired(now: number): void {
    for (const [peer, { validUntil }] of this.#sources) {
      if (now > validUntil) this.#sources.delete(peer);
    }
  }

  /** The requests of this instance's group. */
  ofGroup(now: number): LoadCounts {
    return this.#sum([this.#own, ...this.#reporters(now)]);
  }

  /** The requests of all other groups and of this one, without those of
   * `excluded`. */
  ofAllExcept(
    excluded: string | undefined,
    options: { readonly group: string; readonly now: number },
  ): LoadCounts {
    const { group, now } = options;
    return this.#sum([
      ...(excluded === undefined ? [] : [this.#own]),
      ...this.#reporters(now, excluded),
      ...this.#otherGroups(group, now),
    ]);
  }

  /** The requests of all other instances, as this one knows them: it adds them up
   * if it is a collector, and otherwise takes what a collector says. */
  ofOthers(
    options: {
      readonly isCollector: boolean;
      readonly group: string;
      readonly now: number;
    },
  ): LoadCounts {
    const { isCollector, group, now } = options;
    if (isCollector) return this.ofAllExcept(undefined, { group, now });
    let newest: LoadSource | undefined;
    for (const source of this.#valid("fleet", now)) {
      if (newest === undefined || source.at > newest.at) newest = source;
    }
    return newest?.counts ?? new Map();
  }

  #reporters(now: number, excluded?: string): readonly LoadCounts[] {
    const reporters: LoadCounts[] = [];
    for (const [peer, { scope, counts, validUntil }] of this.#sources) {
      if (scope !== "own" || peer === excluded || now > validUntil) continue;
      reporters.push(counts);
    }
    return reporters;
  }

  #otherGroups(group: string, now: number): readonly LoadCounts[] {
    const newest = new Map<string, LoadSource>();
    for (const source of this.#valid("group", now)) {
      if (source.group === group) continue;
      const current = newest.get(source.group);
      if (current === undefined || source.at > current.at) {
        newest.set(source.group, source);
      }
    }
    return [...newest.values()].map(({ counts }) => counts);
  }

  *#valid(scope: LoadScope, now: number): Iterable<LoadSource> {
    for (const source of this.#sources.values()) {
      if (source.scope === scope && now <= source.validUntil) yield source;
    }
  }

  #sum(parts: readonly LoadCounts[]): LoadCounts {
    const sum = new Map<string, number>();
    for (const part of parts) {
      for (const [engine, count] of part) {
        if (count > 0) sum.set(engine, (sum.get(engine) ?? 0) + count);
      }
    }
    return sum;
  }
}
