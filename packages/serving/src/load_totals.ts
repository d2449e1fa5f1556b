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

/** Counts, and when they were made. */
export interface CountedLoads {
  readonly counts: LoadCounts;
  /** The mean of the counted instances, by this instance's monotonic clock. */
  readonly countedAt: number;
}

/** The counts that one instance sent last. */
export interface LoadSource extends CountedLoads {
  readonly scope: LoadScope;
  /** The sender's group. */
  readonly group: string;
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
  ofGroup(now: number): CountedLoads {
    return sumOf([this.#ownAt(now), ...this.#reporters(now)]);
  }

  /** The requests of all other groups and of this one, without those of
   * `excluded`. */
  ofAllExcept(
    excluded: string | undefined,
    options: { readonly group: string; readonly now: number },
  ): CountedLoads {
    const { group, now } = options;
    return sumOf([
      ...(excluded === undefined ? [] : [this.#ownAt(now)]),
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
  ): CountedLoads {
    const { isCollector, group, now } = options;
    if (isCollector) return this.ofAllExcept(undefined, { group, now });
    let newest: LoadSource | undefined;
    for (const source of this.#valid("fleet", now)) {
      if (newest === undefined || source.at > newest.at) newest = source;
    }
    return newest ?? { counts: new Map(), countedAt: -Infinity };
  }

  #ownAt(now: number): CountedLoads {
    return { counts: this.#own, countedAt: now };
  }

  #reporters(now: number, excluded?: string): readonly CountedLoads[] {
    const reporters: CountedLoads[] = [];
    for (const [peer, source] of this.#sources) {
      const { scope, validUntil } = source;
      if (scope !== "own" || peer === excluded || now > validUntil) continue;
      reporters.push(source);
    }
    return reporters;
  }

  #otherGroups(group: string, now: number): readonly CountedLoads[] {
    const newest = new Map<string, LoadSource>();
    for (const source of this.#valid("group", now)) {
      if (source.group === group) continue;
      const current = newest.get(source.group);
      if (current === undefined || source.at > current.at) {
        newest.set(source.group, source);
      }
    }
    return [...newest.values()];
  }

  *#valid(scope: LoadScope, now: number): Iterable<LoadSource> {
    for (const source of this.#sources.values()) {
      if (source.scope === scope && now <= source.validUntil) yield source;
    }
  }
}

/** Adds up counts. Those of busy instances say more about when they were made. */
function sumOf(parts: readonly CountedLoads[]): CountedLoads {
  const counts = new Map<string, number>();
  let weight = 0;
  let weightedAt = 0;
  for (const part of parts) {
    let partWeight = 1;
    for (const [engine, count] of part.counts) {
      if (count <= 0) continue;
      counts.set(engine, (counts.get(engine) ?? 0) + count);
      partWeight += count;
    }
    weight += partWeight;
    weightedAt += partWeight * part.countedAt;
  }
  return { counts, countedAt: weight === 0 ? -Infinity : weightedAt / weight };
}
