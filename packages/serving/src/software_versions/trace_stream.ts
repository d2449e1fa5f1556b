/** Tells at which version a stream began that this process did not begin.
 *
 * An id that all splits in use give to one version began there. An id that was
 * moved may have begun before or after: each process reports its streams that
 * began before when it adopts the split, and begins none of the moved ids until
 * the report is stored. A process that was killed leaves a report that is older
 * than the move; what it may have begun since is bounded by that report, too.
 *
 * @module
 */
import { WALL_CLOCK_SKEW_MS } from "../clock_pair.ts";
import {
  TAKE_UP_MAX_MS,
  versionAt,
  type VersionSplit,
} from "./version_split.ts";

/** In place of the number of splits: the report is the last one of a process. It
 * names all of its streams, so it is as new as any splits that follow. */
export const ALL_SPLITS = Number.MAX_SAFE_INTEGER;

/** What a process has stored of the streams that it began. */
export interface StreamReport {
  /** The process, as log lines name it. */
  readonly process?: string;
  /** The number of the newest splits that the process has adopted, or
   * `ALL_SPLITS`. */
  readonly splits: number;
  /** The versions of its streams that began elsewhere than these splits would let
   * them, by the ids of their first attempts. */
  readonly strayed: Readonly<Record<string, string>>;
  /** Whether the process wrote it in the store's present era. A restored store may
   * hold an older report than the last one, which bounds nothing. */
  readonly isOfEra?: boolean;
  /** How long after their beginning its streams may be taken up at most, in
   * milliseconds. It begins none that may be for longer before the store has taken
   * a report that says so. */
  readonly takeUpMs?: number;
  /** By when the process had ended, in milliseconds of Unix time; undefined if
   * that is not known. */
  readonly endedAt?: number;
}

/** How the version of a stream is known. */
export type TraceSource =
  /** This process began it. */
  | "memory"
  /** There was no other version. */
  | "single"
  /** All splits in use agree. */
  | "split"
  /** The process that began it has reported it, or all have reported theirs. */
  | "report";

/** The version at which a stream began, or why it is not known. */
export type StreamTrace =
  | {
    readonly kind: "known";
    readonly version: string;
    readonly source: TraceSource;
  }
  | {
    readonly kind: "unknown";
    readonly reason: "no_split" | "unnamed" | "unconfirmed" | "unreported";
    /** The reports that are older than the move. */
    readonly outdated?: readonly StreamReport[];
  }
  /** The reports decide. */
  | { readonly kind: "moved" };

/** Until when streams of a process that has ended may be taken up, in
 * milliseconds of Unix time by any instance's clock; `Infinity` if it is not known
 * to have ended.
 *
 * @example
 * ```ts
 * const isOver = Date.now() > takeUpsEndAt(report);
 * ```
 */
export function takeUpsEndAt(
  { endedAt = Infinity, takeUpMs = TAKE_UP_MAX_MS, isOfEra }: StreamReport,
): number {
  const boundMs = isOfEra === true ? takeUpMs : TAKE_UP_MAX_MS;
  return endedAt + boundMs + WALL_CLOCK_SKEW_MS;
}

/** Finds the version of a stream. `splits` are those in use, newest first. Without
 * `reports`, the result is `moved` if they are needed.
 *
 * @example
 * ```ts
 * const stream = { id, position: positionOf(id, adapter), until };
 * const trace = traceStream(stream, splitsInUse(splits, pool, Date.now()));
 * ```
 */
export function traceStream(
  stream: {
    /** The id of its first attempt. */
    readonly id: string;
    readonly position: number;
    /** When its caller gives up, in milliseconds of Unix time; undefined if that
     * is not known. */
    readonly until?: number | undefined;
  },
  splits: readonly VersionSplit[],
  reports?: readonly StreamReport[],
): StreamTrace {
  const { id, position, until = -Infinity } = stream;
  const [newest] = splits;
  const version = versionAt(newest, position);
  if (version === undefined) return { kind: "unknown", reason: "no_split" };
  const moves = splits.slice(0, -1).filter((split, i) =>
    versionAt(split, position) !== versionAt(splits[i + 1], position)
  );
  if (moves.length === 0) return { kind: "known", version, source: "split" };
  if (reports === undefined) return { kind: "moved" };
  for (const { strayed } of reports) {
    const reported = Object.hasOwn(strayed, id) ? strayed[id] : undefined;
    if (reported !== undefined) {
      return { kind: "known", version: reported, source: "report" };
    }
  }
  // A process that ended before it reported may have begun the stream.
  const lastMove = Math.max(...moves.map(({ number }) => number));
  const outdated = reports.filter((report) =>
    report.splits < lastMove && until <= takeUpsEndAt(report) &&
    lastVersionOf(report, position, splits) !== version
  );
  return outdated.length === 0
    ? { kind: "known", version, source: "report" }
    : { kind: "unknown", reason: "unreported", outdated };
}

/** The version at which a process begins streams after its report; undefined if
 * that is not known. */
function lastVersionOf(
  { splits: adopted, isOfEra }: StreamReport,
  position: number,
  splits: readonly VersionSplit[],
): string | undefined {
  if (isOfEra !== true) return undefined;
  return versionAt(splits.find(({ number }) => number <= adopted), position);
}
