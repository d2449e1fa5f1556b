/** Checks from outside that a workspace gets its limit and no more.
 *
 * @module
 */
import type { TrialLimit } from "@banyanlb/platform/stand_in";
import type { Attempt, SoakObservations } from "./checks.ts";

/** A limit that was published. Times are as in `Date.now`, in milliseconds. */
export interface LimitChange {
  readonly limit: TrialLimit;
  readonly sentAt: number;
  /** When the store confirmed it, if it did. */
  readonly acceptedAt?: number;
}

/** The limits of a workspace in the course of a soak. */
export interface WorkspaceLimits {
  readonly workspace: string;
  readonly windowMs: number;
  readonly changes: readonly LimitChange[];
}

/** Time after the store confirmed a lower limit from which it binds, in
 * milliseconds. */
const LIMIT_KNOWN_MS = 2500;

/** In each window a workspace may get so many times its limit, and this part of
 * the limit more: 17,000 of 480,000 units in the deployments. */
const OVER_FACTOR = 1.1;
const SLACK_RATIO = 0.035;

/** Part of its limit that a workspace which asks for more must get while nothing
 * fails. */
const MIN_SHARE = 0.5;

/** Returns whether an attempt was refused because of the workspace's limit. */
export function isOverLimit(
  { workspace, status }: Attempt,
  limits: WorkspaceLimits,
): boolean {
  return status === 429 && workspace === limits.workspace;
}

/** Checks that engines ran no more requests of the workspace than its limit
 * allows in any window, and at least a part of it in the window after the
 * recovery. */
export function checkWorkspaceLimits(
  observations: SoakObservations,
): readonly string[] {
  const { recoveredFromMs, limits } = observations;
  const runs = firstRuns(observations);
  const windows = runs.map(({ sentAt }) => {
    const count = countWithin(runs, sentAt, limits.windowMs);
    const limit = unitsWithin(sentAt, observations);
    return { sentAt, count, allowed: limit * (OVER_FACTOR + SLACK_RATIO) };
  });
  const [worst] = windows.sort((a, b) =>
    b.count - b.allowed - a.count + a.allowed
  );
  const served =
    runs.filter(({ at }) =>
      at >= recoveredFromMs && at < recoveredFromMs + limits.windowMs
    ).length;
  const due = MIN_SHARE * unitsWithin(recoveredFromMs, observations);
  return [
    ...(worst === undefined || worst.count <= worst.allowed ? [] : [
      `${limits.workspace} got ${worst.count} of ${worst.allowed.toFixed(1)} ` +
      `allowed requests in the window from ${worst.sentAt}`,
    ]),
    ...(served >= due ? [] : [
      `${limits.workspace} got ${served} requests after the recovery, less ` +
      `than ${due}`,
    ]),
  ];
}

interface Run {
  readonly sentAt: number;
  readonly at: number;
}

/** The first run of each request of the workspace. */
function firstRuns(
  { attempts, records, limits }: SoakObservations,
): readonly Run[] {
  const sentAtById = new Map(
    attempts.filter((a) => a.workspace === limits.workspace)
      .map((a) => [a.id, a.sentAt]),
  );
  return records.flatMap((record) => {
    const sentAt = record.t === "run" ? sentAtById.get(record.id) : undefined;
    if (record.t !== "run" || sentAt === undefined) return [];
    sentAtById.delete(record.id);
    return [{ sentAt, at: record.at }];
  });
}

/** Number of requests that were both sent and run in a window. */
function countWithin(
  runs: readonly Run[],
  fromMs: number,
  windowMs: number,
): number {
  return runs.filter(({ sentAt, at }) =>
    sentAt >= fromMs && at < fromMs + windowMs
  ).length;
}

/** The highest limit that may have been in force in the window from `fromMs` on,
 * in requests. */
function unitsWithin(
  fromMs: number,
  { limits, calmFromMs }: SoakObservations,
): number {
  const { changes, windowMs } = limits;
  const units = changes.map(({ limit, sentAt }, i) => {
    const supersededAt = Math.min(
      ...changes.slice(i + 1).map((later) => later.acceptedAt ?? Infinity),
    );
    // While there are faults, some instance may be unable to know.
    const endsAt = Math.max(supersededAt + LIMIT_KNOWN_MS, calmFromMs);
    return sentAt < fromMs + windowMs && endsAt > fromMs
      ? limit.perSecond * windowMs / 1000 + limit.burst
      : 0;
  });
  return Math.max(0, ...units);
}
