/** Generates the tables of the capacity page.
 *
 * @module
 */
import type { ScenarioFigure } from "./failure_scenarios.ts";
import { BITS_PER_BYTE, MB } from "./constants.ts";
import type { ControlTimesCost } from "./control_times.ts";
import { formatNumber, formatTable } from "./markdown.ts";
import type { PlanLimits, PlanSize } from "./plan_size.ts";
import type { RoleInputs } from "./role_inputs.ts";
import { controlTotal, type RoleCost } from "./role_model.ts";
import type { Slope, Slopes } from "./slope.ts";
import type { StoreLoad } from "./store_load.ts";

const PERCENT = 100;
const FACTOR_DIGITS = 1;

/** All figures of the page. */
export interface PageFigures {
  readonly commit: string;
  readonly size: PlanSize;
  readonly limits: PlanLimits;
  readonly slopes: Slopes;
  readonly inputs: RoleInputs;
  readonly rows: readonly RoleCost[];
  readonly store: StoreLoad;
  /** Cost with control times that fit the limits. */
  readonly fitted: ControlTimesCost;
  /** Cost with the fitted times and the design changes that the page names. */
  readonly changed: ControlTimesCost;
  readonly bad_days: readonly ScenarioFigure[];
}

function formatPoints(slope: Slope): string {
  return slope.points
    .map(({ x, y }) => `${formatNumber(x)}: ${formatNumber(y)}`)
    .join("; ");
}

/** Table of all slopes with their points and fits. */
export function slopesTable(slopes: Slopes): string {
  const rows = slopes.all.map((slope) => [
    `\`${slope.name}\``,
    slope.what,
    `${slope.unit} by ${slope.per}`,
    formatPoints(slope),
    formatNumber(slope.fit.slope),
    formatNumber(slope.fit.intercept),
    slope.fit.r2.toFixed(FACTOR_DIGITS + 2),
  ]);
  return formatTable(
    ["name", "what", "unit", "points", "slope", "intercept", "R2"],
    rows,
  );
}

/** Table of the cost of each role on one node. */
export function rolesTable(rows: readonly RoleCost[]): string {
  return formatTable(
    ["role", "state, MB", "messages/s", "B/s", "core, %", "mechanism"],
    rows.map((row) => [
      row.role,
      formatNumber(row.state_bytes / MB),
      formatNumber(row.messages_per_s),
      formatNumber(row.bytes_per_s),
      formatNumber(row.core * PERCENT),
      `${row.mechanism}; breaks first: ${row.breaks_first}`,
    ]),
  );
}

/** Text of whether a value keeps its limit, and of the factor between them. */
function compareWithLimit(value: number, limit: number): string {
  const factor = limit / value;
  const text = `${formatNumber(factor >= 1 ? factor : 1 / factor)} x`;
  return factor >= 1 ? `kept, ${text}` : `**missed, ${text} over**`;
}

/** Table of the plan's limits and whether they are kept. */
export function limitsTable(figures: PageFigures): string {
  const { changed, fitted, inputs, limits, rows, store } = figures;
  const total = controlTotal(rows, inputs);
  const loads = [store, fitted.store, changed.store];
  const linkPercent = (load: StoreLoad) =>
    load.cross_region_bytes_per_s * BITS_PER_BYTE /
    figures.size.region_bits_per_s * PERCENT;
  const inForceMs = (load: StoreLoad) =>
    inputs.in_force_ms + load.config_change_link_ms;
  const { basis } = inputs;
  const lines: readonly LimitLine[] = [
    {
      what: "processor time for control",
      unit: "% of a core",
      limit: limits.control_core * PERCENT,
      values: [total, fitted, changed].map((row) => row.core * PERCENT),
    },
    {
      what: `resident memory (${basis["resident_store"]})`,
      unit: "MB",
      limit: limits.control_bytes / MB,
      values: [total.resident_bytes / MB],
    },
    {
      what: "resident memory, started from a peer",
      unit: "MB",
      limit: limits.control_bytes / MB,
      values: [inputs.resident_peer_bytes / MB],
    },
    {
      what: "bytes for control, both ways",
      unit: "B/s",
      limit: limits.control_bytes_per_s,
      values: [total, fitted, changed].map((row) => row.bytes_per_s),
    },
    {
      what: "bytes for control of requests",
      unit: "B/s",
      limit: limits.control_bytes_per_s,
      values: [fitted, fitted, changed].map((row) => row.request_bytes_per_s),
    },
    {
      what: "store writes",
      unit: "1/s",
      limit: limits.store_writes_per_s,
      values: loads.map((load) => load.writes_per_s),
    },
    {
      what: "store reads",
      unit: "1/s",
      limit: limits.store_reads_per_s,
      values: loads.map((load) => load.reads_per_s),
    },
    {
      what: `change in force (${basis["in_force"]})`,
      unit: "ms",
      limit: limits.in_force_ms,
      values: loads.map(inForceMs),
    },
    {
      what: "one region's link, all control",
      unit: "% of 20 Mbit/s",
      limit: PERCENT,
      values: loads.map(linkPercent),
    },
    {
      what: "one fleet change on a region's link",
      unit: "ms",
      limit: limits.in_force_ms,
      values: loads.map((load) => load.fleet_change_link_ms),
    },
  ];
  return formatTable(
    ["what", "unit", "limit", "today", "fitted times", "named changes"],
    lines.map(limitRow),
  );
}

interface LimitLine {
  readonly what: string;
  readonly unit: string;
  readonly limit: number;
  /** Values today, with fitted times, and with the named changes. */
  readonly values: readonly number[];
}

function limitRow(line: LimitLine): readonly string[] {
  const { limit, unit, values, what } = line;
  const cells = [0, 1, 2].map((i) => {
    const value = values[i];
    if (value === undefined) return "";
    return `${formatNumber(value)}: ${compareWithLimit(value, limit)}`;
  });
  return [what, unit, formatNumber(limit), ...cells];
}

/** Table of the fitted times, which keep the limits that depend on times. */
export function timesTable(figures: PageFigures): string {
  const { fitted } = figures;
  const rows = Object.entries(fitted.times)
    .map(([name, ms]) => [`\`${name}\``, formatNumber(ms)]);
  return formatTable(["time", "ms"], rows);
}

/** Table of the figures of the failure scenarios. */
export function badDaysTable(figures: readonly ScenarioFigure[]): string {
  return formatTable(
    ["day", "what", "figure", "unit", "limit", "mechanism"],
    figures.map((row) => [
      row.day,
      row.what,
      formatNumber(row.value),
      row.unit,
      row.limit === undefined
        ? ""
        : `${formatNumber(row.limit)}: ${
          compareWithLimit(row.value, row.limit)
        }`,
      row.mechanism,
    ]),
  );
}

/** Table of how each figure that the model uses was obtained. */
export function basisTable(inputs: RoleInputs): string {
  const rows = Object.entries(inputs.basis)
    .map(([name, basis]) => [`\`${name}\``, basis]);
  return formatTable(["slope", "at the planned size"], rows);
}
