/** Which version of the engines' software a new stream begins at.
 *
 * It follows from the id of the stream's first attempt and from a split of all
 * ids among the versions, which the store has confirmed before anyone uses it.
 * So an instance that has lost its memory still tells where a stream began.
 *
 * @module
 */
import { hashToUnitInterval } from "@banyanlb/core";
import type { HomeRegions } from "../residency/residency.ts";
import { FIRST_ERA } from "../store_era/store_revision.ts";

/** How long after its first attempt a stream may be taken up, in milliseconds:
 * callers that wait longer are not known. */
export const TAKE_UP_MAX_MS = 40_000;

/** The part of all ids that begin at one version: those whose position is below
 * `until` and not in a former range. */
export interface VersionRange {
  readonly version: string;
  readonly until: number;
}

/** A division of all ids among versions. */
export interface VersionSplit {
  /** Grows with each split, over all pools. */
  readonly number: number;
  /** When it replaced the one before, in milliseconds of Unix time. */
  readonly madeAt: number;
  /** Empty if it is not known what was in force. */
  readonly ranges: readonly VersionRange[];
}

/** The splits of all pools. */
export interface VersionSplits {
  /** The number of the newest split. */
  readonly number: number;
  /** The era of the store in which they were written. A store that was restored
   * holds those of a former era, and may have lost newer ones. */
  readonly era: number;
  /** The splits of each pool, newest first. */
  readonly pools: Readonly<Record<string, readonly VersionSplit[]>>;
}

/** No pool has a split yet. */
export const NO_SPLITS: VersionSplits = {
  number: 0,
  era: FIRST_ERA,
  pools: {},
};

/** The name of the pool of engines among which a request chooses: a service, and
 * the regions in which the request may be served.
 *
 * @example
 * ```ts
 * poolOf("chat", undefined); // "chat"
 * poolOf("chat", new Set(["north"])); // "chat@north"
 * ```
 */
export function poolOf(service: string, homes: HomeRegions): string {
  return homes === undefined
    ? service
    : `${service}@${[...homes].sort().join(",")}`;
}

/** The version at which a stream begins, by the id of its first attempt;
 * undefined if the split does not tell.
 *
 * @example
 * ```ts
 * versionAt({ number: 1, madeAt, ranges: [{ version: "v1", until: 1 }] }, id);
 * ```
 */
export function versionAt(
  split: VersionSplit | undefined,
  id: string,
): string | undefined {
  if (split === undefined) return undefined;
  const position = hashToUnitInterval(id);
  return split.ranges.find(({ until }) => position < until)?.version;
}

/** The splits of a pool under which a stream may have begun that is taken up at
 * `now`, newest first. */
export function splitsInUse(
  splits: VersionSplits,
  pool: string,
  now: number,
): readonly VersionSplit[] {
  const all = splits.pools[pool] ?? [];
  return all.filter((_, i) => {
    const successor = all[i - 1];
    return successor === undefined ||
      now - successor.madeAt < TAKE_UP_MAX_MS;
  });
}
