/** Checks from outside that evacuated zones get no requests, and cold engines few.
 *
 * @module
 */
import {
  type EngineRecord,
  TRIAL_COLD,
  TRIAL_EVACUATED_WITHIN_MS,
} from "@banyanlb/platform/stand_in";
import type { SoakObservations } from "./checks.ts";
import { mostWithin } from "./most_within.ts";

/** An evacuation. Times are as in `Date.now`, in milliseconds. */
export interface EvacuationSpan {
  readonly zone: string;
  readonly acceptedAt: number;
  /** When its end was sent to the store. */
  readonly endedAt: number;
}

const COLD_WINDOW_MS = 1000;

/** Checks that no engine of a zone ran a request from the time on at which the
 * evacuation must be known; without faults, since some instance may be unable to
 * know. */
export function checkEvacuations(
  { records, evacuations, calmFromMs }: SoakObservations,
): readonly string[] {
  const zones = new Map(
    records.flatMap((r) => r.t === "start" ? [[r.engine, r.zone]] : []),
  );
  return evacuations.flatMap(({ zone, acceptedAt, endedAt }) => {
    const fromMs = Math.max(calmFromMs, acceptedAt) + TRIAL_EVACUATED_WITHIN_MS;
    const late = records.filter((r) =>
      r.t === "run" && zones.get(r.engine) === zone && r.at > fromMs &&
      r.at < endedAt
    );
    return late.length === 0
      ? []
      : [`${late.length} requests ran in ${zone}, which was evacuated`];
  });
}

/** Checks that engines got no more requests in a second while they were cold than
 * they bear, of all instances together. */
export function checkColdEngines(
  { records }: SoakObservations,
): readonly string[] {
  const allowed = TRIAL_COLD.perSecond * TRIAL_COLD.ratio + TRIAL_COLD.fixed;
  return records.flatMap((cold) => {
    if (cold.t !== "cold") return [];
    const runs = runsOf(records, cold.engine).filter((at) =>
      at >= cold.at && at < cold.at + cold.ms
    );
    const most = mostWithin(runs, COLD_WINDOW_MS);
    return most <= allowed ? [] : [
      `${cold.engine} ran ${most} requests in a second while it was cold`,
    ];
  });
}

function runsOf(
  records: readonly EngineRecord[],
  engine: string,
): readonly number[] {
  return records.flatMap((r) =>
    r.t === "run" && r.engine === engine ? [r.at] : []
  );
}
