/** Which version of the engines' software a new stream begins at.
 *
 * It follows from the adapter and the id of the stream's first attempt, which a
 * caller names again, and from a split of all positions among the versions, which
 * the store has confirmed before anyone uses it. So an instance that has lost its
 * memory still tells where a stream began.
 *
 * @module
 */
import { hashToUnitInterval } from "@banyanlb/core";
import type { HomeRegions } from "../residency/residency.ts";
import { FIRST_ERA } from "../store_era/store_revision.ts";

/** How long after its first attempt a stream may be taken up, in milliseconds:
 * callers that wait longer are not known. */
export const TAKE_UP_MAX_MS = 40_000;

/** Added to a caller's deadline, in milliseconds: a request that was passed on
 * names less than its caller has left. */
const TAKE_UP_SLACK_MS = 500;

/** Part of all positions over which the streams of one adapter are spread. If it
 * were all, each adapter would be loaded at each version; if it were none, one
 * version could get all requests of an adapter that many ask for. */
const ADAPTER_SPREAD = 0.2;

/** The part of all positions that begin at one version: those below `until` that
 * are in no former range. */
export interface VersionRange {
  readonly version: string;
  readonly until: number;
}

/** A division of all positions among versions. */
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

/** The position of a stream in a split, in [0, 1): by its adapter, if it has one,
 * and by the id of its first attempt.
 *
 * @example
 * ```ts
 * positionOf("r1", adapterKey("m", "a1"));
 * ```
 */
export function positionOf(id: string, adapter: string | undefined): number {
  const idPosition = hashToUnitInterval(id);
  if (adapter === undefined) return idPosition;
  return (hashToUnitInterval(adapter) + idPosition * ADAPTER_SPREAD) % 1;
}

/** The version at which a stream begins, by its position; undefined if the split
 * does not tell.
 *
 * @example
 * ```ts
 * const ranges = [{ version: "v1", until: 1 }];
 * versionAt({ number: 1, madeAt, ranges }, positionOf("r1", undefined)); // "v1"
 * ```
 */
export function versionAt(
  split: VersionSplit | undefined,
  position: number,
): string | undefined {
  if (split === undefined) return undefined;
  return split.ranges.find(({ until }) => position < until)?.version;
}

/** How long after the arrival of its first attempt a stream may be taken up, in
 * milliseconds: until its caller's deadline, however its answer ended.
 *
 * @example
 * ```ts
 * const until = arrivedAt + takeUpMs(caller.deadlineMs);
 * ```
 */
export function takeUpMs(deadlineMs: number | undefined): number {
  return Math.min(
    (deadlineMs ?? Infinity) + TAKE_UP_SLACK_MS,
    TAKE_UP_MAX_MS,
  );
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
