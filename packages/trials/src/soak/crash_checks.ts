/** Checks from outside that requests which crash engines are kept from them, and
 * sound ones are not.
 *
 * @module
 */
import type { EngineRecord } from "@banyanlb/platform/stand_in";
import type { Attempt, SoakObservations } from "./checks.ts";

/** From this time after so many crashes on, at most so many more sends of a
 * request may reach engines: the deployments' bound. */
const CRASHES_TO_LEARN = 3;
const LEARN_MS = 3000;
const LATE_RUNS_MAX = 3;

/** Time within which a held request is refused, in milliseconds. */
const REFUSED_WITHIN_MS = 1000;

/** Number of sound requests that may be refused as held, because they were cut
 * off in several crashes beside crashing ones. */
const SOUND_HELD_MAX = 3;

/** Reasons of refusals of what is held, in the body. */
const HELD = /"type":"held_/;

type RunRecord = Extract<EngineRecord, { t: "run" }>;

/** Checks each repeated request of a soak. */
export function checkCrashingRequests(
  observations: SoakObservations,
): readonly string[] {
  const { attempts, records } = observations;
  const crashing = new Map<string, Attempt[]>();
  for (const attempt of attempts) {
    const { repeated, isCrashing } = attempt;
    if (repeated === undefined || !isCrashing) continue;
    const others = crashing.get(repeated) ?? [];
    crashing.set(repeated, [...others, attempt]);
  }
  return [
    ...[...crashing].flatMap(([name, own]) => {
      const ids = new Set(own.map(({ id }) => id));
      const runs = records.filter((r): r is RunRecord =>
        r.t === "run" && ids.has(r.id)
      );
      const learntAt = learntFrom(runs, records);
      return [
        ...checkLateRuns(name, runs, { learntAt, observations }),
        ...checkRefusals(name, own, { learntAt, runs, observations }),
      ];
    }),
    ...checkSound(attempts),
  ];
}

/** Time as in `Date.now` from which a request must be held. */
function learntFrom(
  runs: readonly RunRecord[],
  records: readonly EngineRecord[],
): number {
  const crashTimes = runs.filter((run, i) => {
    const startedAt = startOf(run, records);
    // Several runs on one engine before it ends are one crash.
    return !runs.slice(0, i).some((earlier) =>
      earlier.engine === run.engine && startOf(earlier, records) === startedAt
    );
  }).map(({ at }) => at).sort((a, b) => a - b);
  return (crashTimes[CRASHES_TO_LEARN - 1] ?? Infinity) + LEARN_MS;
}

/** When the engine of a run had started. */
function startOf(
  run: RunRecord,
  records: readonly EngineRecord[],
): number | undefined {
  return records.slice(0, records.indexOf(run))
    .findLast((r) => r.t === "start" && r.engine === run.engine)?.at;
}

function checkLateRuns(
  name: string,
  runs: readonly RunRecord[],
  { learntAt, observations }: {
    readonly learntAt: number;
    readonly observations: SoakObservations;
  },
): readonly string[] {
  const fromMs = Math.max(observations.calmFromMs, learntAt);
  const late = runs.filter(({ at }) => at > fromMs);
  return late.length <= LATE_RUNS_MAX ? [] : [
    `${name}: ${late.length} of ${runs.length} runs after ${fromMs}: ` +
    late.map(({ id, engine }) => `${id} on ${engine}`).join(", "),
  ];
}

/** Checks that a request which is held is refused at once, without a word that it
 * may come again. */
function checkRefusals(
  name: string,
  attempts: readonly Attempt[],
  { learntAt, runs, observations }: {
    readonly learntAt: number;
    readonly runs: readonly RunRecord[];
    readonly observations: SoakObservations;
  },
): readonly string[] {
  const firstHeldAt = Math.min(
    ...attempts.filter(isRefusedAsHeld).map(({ endedAt }) => endedAt),
  );
  const fromMs = Math.max(
    observations.calmFromMs,
    Math.min(learntAt, firstHeldAt + LEARN_MS),
  );
  const ranIds = new Set(runs.map(({ id }) => id));
  return attempts.filter(({ id, sentAt }) => sentAt > fromMs && !ranIds.has(id))
    .flatMap((attempt) => {
      const { id, status, retryAfter, sentAt, endedAt } = attempt;
      const tookMs = endedAt - sentAt;
      const isProper = isRefusedAsHeld(attempt) && retryAfter === undefined &&
        tookMs <= REFUSED_WITHIN_MS;
      return isProper ? [] : [
        `${name}: ${id} got ${status} after ${tookMs} ms, Retry-After ` +
        `${retryAfter}, ${attempt.body.slice(0, 80)}`,
      ];
    });
}

function checkSound(attempts: readonly Attempt[]): readonly string[] {
  const held = attempts.filter((attempt) =>
    attempt.repeated !== undefined && !attempt.isCrashing &&
    isRefusedAsHeld(attempt)
  );
  return held.length <= SOUND_HELD_MAX ? [] : [
    `${held.length} sound requests refused as held: ` +
    [...new Set(held.map(({ repeated }) => repeated))].join(", "),
  ];
}

function isRefusedAsHeld({ status, body }: Attempt): boolean {
  return status === 503 && HELD.test(body);
}
