/** Slopes by number of instances: cost of an idle fleet, store calls of each
 * event, and durations.
 *
 * @module
 */
import { MS_PER_S } from "./constants.ts";
import { CHANGE_COUNT, type FleetFigures } from "./fleet_trial.ts";
import type { FleetUsage, StoreCounts } from "./fleet_usage.ts";
import { fitSlope, type Slope } from "./slope.ts";

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Store calls a second whose label matches. */
function callsPerS(
  use: FleetUsage,
  matches: (label: string) => boolean,
): number {
  return sumCounts(use.store, matches, (row) => row.calls) /
    (use.window_ms / MS_PER_S);
}

function sumCounts(
  counts: StoreCounts,
  matches: (label: string) => boolean,
  read: (row: StoreCounts[string]) => number,
): number {
  return Object.entries(counts).filter(([label]) => matches(label))
    .reduce((sum, [, row]) => sum + read(row), 0);
}

const WRITE_LABEL = /(create|update|remove)$/;

function isWrite(label: string): boolean {
  return WRITE_LABEL.test(label);
}

function isRead(label: string): boolean {
  return !isWrite(label);
}

function totalBytes(row: StoreCounts[string]): number {
  return row.bytes_in + row.bytes_out;
}

/** Calls in excess of those that an idle fleet sends in the same time. */
function extraCalls(
  figures: FleetFigures,
  use: FleetUsage,
  matches: (label: string) => boolean,
): number {
  const idle_per_s = callsPerS(figures.idle, matches);
  const calls = sumCounts(use.store, matches, (row) => row.calls);
  return calls - idle_per_s * use.window_ms / MS_PER_S;
}

interface FleetSlopeDefinition {
  readonly name: string;
  readonly what: string;
  readonly unit: string;
  readonly read: (figures: FleetFigures) => number;
}

const labelIs = (wanted: string) => (label: string) => label === wanted;

const FLEET_SLOPES: readonly FleetSlopeDefinition[] = [
  {
    name: "idle_core",
    what: "mean processor time of an idle daemon",
    unit: "core",
    read: ({ idle }) => mean(idle.cores),
  },
  {
    name: "idle_resident",
    what: "mean resident memory of an idle daemon",
    unit: "B",
    read: ({ idle }) => mean(idle.resident_bytes),
  },
  {
    name: "idle_writes",
    what: "store writes a second of the whole idle fleet",
    unit: "1/s",
    read: ({ idle }) => callsPerS(idle, isWrite),
  },
  {
    name: "idle_reads",
    what: "store reads a second of the whole idle fleet, long polls included",
    unit: "1/s",
    read: ({ idle }) => callsPerS(idle, isRead),
  },
  {
    name: "idle_session_reads",
    what: "reads of sessions a second of the whole idle fleet",
    unit: "1/s",
    read: ({ idle }) => callsPerS(idle, labelIs("session get")),
  },
  {
    name: "idle_manifest_polls",
    what: "polls of the manifest a second of the whole idle fleet",
    unit: "1/s",
    read: ({ idle }) => callsPerS(idle, labelIs("manifest watch")),
  },
  {
    name: "idle_list_reads",
    what: "reads of the instance list a second of the whole idle fleet",
    unit: "1/s",
    read: ({ idle }) => idle.list_reads / (idle.window_ms / MS_PER_S),
  },
  {
    name: "idle_store_bytes",
    what: "bytes a second between an idle daemon and the store",
    unit: "B/s",
    read: ({ daemons, idle }) =>
      sumCounts(idle.store, () => true, totalBytes) /
      (idle.window_ms / MS_PER_S) /
      daemons,
  },
  {
    name: "in_force",
    what: "time until a change was in force on the last daemon, worst of 5",
    unit: "ms",
    read: ({ in_force_ms }) => Math.max(...in_force_ms),
  },
  {
    name: "change_reads",
    what: "store reads that one change adds",
    unit: "calls",
    read: (figures) =>
      extraCalls(figures, figures.changes, isRead) / CHANGE_COUNT,
  },
  {
    name: "change_writes",
    what: "store writes that one change adds",
    unit: "calls",
    read: (figures) =>
      extraCalls(figures, figures.changes, isWrite) / CHANGE_COUNT,
  },
  {
    name: "take_over",
    what: "time from a kill until the member was removed",
    unit: "ms",
    read: ({ take_over_ms }) => take_over_ms,
  },
  {
    name: "kill_fleet_writes",
    what: "writes of the fleet object that a kill adds",
    unit: "calls",
    read: ({ kill }) =>
      sumCounts(kill.store, labelIs("fleet update"), (r) => r.calls),
  },
  {
    name: "join_fleet_writes",
    what: "writes of the fleet object that a join adds, lost races included",
    unit: "calls",
    read: ({ join }) =>
      sumCounts(join.store, labelIs("fleet update"), (r) => r.calls),
  },
  {
    name: "leave_fleet_writes",
    what: "writes of the fleet object that a graceful end adds",
    unit: "calls",
    read: ({ leave }) =>
      sumCounts(leave.store, labelIs("fleet update"), (r) => r.calls),
  },
  {
    name: "join_fleet_reads",
    what: "reads of the fleet object that a join adds, watches included",
    unit: "calls",
    read: ({ join }) =>
      sumCounts(
        join.store,
        (label) => label === "fleet watch" || label === "fleet get",
        (r) => r.calls,
      ),
  },
];

/** Mean bytes of one call with a label, in the idle window of the largest
 * fleet; 0 if there was none. */
export function bytesPerCall(
  figures: readonly FleetFigures[],
  label: string,
): number {
  const largest = figures.at(-1);
  const row = largest?.idle.store[label];
  if (row === undefined || row.calls === 0) return 0;
  return totalBytes(row) / row.calls;
}

/** Fits all slopes to the figures of fleets of several sizes. */
export function fleetSlopes(rows: readonly FleetFigures[]): readonly Slope[] {
  return FLEET_SLOPES.map(({ read, ...slope }) =>
    fitSlope({
      ...slope,
      per: "instances",
      points: rows.map((figures) => ({ x: figures.daemons, y: read(figures) })),
    })
  );
}
