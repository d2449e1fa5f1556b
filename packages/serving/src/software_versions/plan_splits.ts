/** Divides new streams among the versions of the engines' software, by the room
 * that each version's engines have.
 *
 * Each change moves ids from one version to another, and every instance writes a
 * record for it. So a split is kept until the engines of a version get far more
 * than their part, or a version has none left.
 *
 * @module
 */
import {
  NO_SPLITS,
  splitsInUse,
  type VersionRange,
  type VersionSplit,
  type VersionSplits,
} from "./version_split.ts";

/** How much more than its part of the room a version may get. */
const EXCESS_RATIO = 1.15;
const EXCESS_SHARE = 0.04;

/** Minimum time between two splits of a pool, in milliseconds, unless a version
 * has no engine left. */
const SPLIT_PAUSE_MS = 1000;

/** The room of each version's engines, by the version. */
export type RoomByVersion = ReadonlyMap<string, number>;

/** The next splits; undefined if the current ones stay in force. `rooms` has the
 * pools that exist at `now`, in milliseconds of Unix time.
 *
 * @example
 * ```ts
 * planSplits(undefined, new Map([["chat", new Map([["v1", 64]])]]), Date.now());
 * ```
 */
export function planSplits(
  current: VersionSplits = NO_SPLITS,
  rooms: ReadonlyMap<string, RoomByVersion>,
  now: number,
): VersionSplits | undefined {
  const number = current.number + 1;
  const changed: Record<string, readonly VersionSplit[]> = {};
  for (const [pool, room] of rooms) {
    const newest = current.pools[pool]?.[0];
    const ranges = nextRanges(newest, room, now);
    if (ranges === undefined) continue;
    const former = newest === undefined
      // Streams may have begun without a split.
      ? [{ number: 0, madeAt: 0, ranges: [] }]
      : splitsInUse(current, pool, now);
    changed[pool] = [{ number, madeAt: now, ranges }, ...former];
  }
  if (Object.keys(changed).length === 0) return undefined;
  return { ...current, number, pools: { ...current.pools, ...changed } };
}

/** The ranges that replace those of `split`; undefined if they stay. */
function nextRanges(
  split: VersionSplit | undefined,
  room: RoomByVersion,
  now: number,
): readonly VersionRange[] | undefined {
  const total = [...room.values()].reduce((sum, n) => sum + n, 0);
  if (total === 0) return undefined;
  const shares = sharesOf(split?.ranges ?? []);
  const parts = new Map(
    [...room].map(([version, n]) => [version, n / total]),
  );
  const isStranded = [...shares].some(([version, share]) =>
    share > 0 && (parts.get(version) ?? 0) === 0
  );
  const isUneven = [...shares].some(([version, share]) => {
    const part = parts.get(version) ?? 0;
    return share > part * EXCESS_RATIO && share - part > EXCESS_SHARE;
  });
  const isPaused = now - (split?.madeAt ?? 0) < SPLIT_PAUSE_MS;
  if (split !== undefined && !isStranded && (!isUneven || isPaused)) {
    return undefined;
  }
  // Ranges keep their order, so that few ids move.
  const order = [
    ...shares.keys(),
    ...[...parts.keys()].filter((version) => !shares.has(version)).sort(),
  ];
  let until = 0;
  const ranges = order.flatMap((version): readonly VersionRange[] => {
    const part = parts.get(version) ?? 0;
    until += part;
    return part === 0 ? [] : [{ version, until }];
  });
  // Sums of fractions may miss 1.
  return ranges.map((range, i) =>
    i === ranges.length - 1 ? { ...range, until: 1 } : range
  );
}

function sharesOf(
  ranges: readonly VersionRange[],
): ReadonlyMap<string, number> {
  return new Map(
    ranges.map(({ version, until }, i) => [
      version,
      until - (ranges[i - 1]?.until ?? 0),
    ]),
  );
}
