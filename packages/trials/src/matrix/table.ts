/** Formats the results of a run as a table and as JSON.
 *
 * @module
 */
import { mkdir, writeFile } from "node:fs/promises";
import { dirname } from "node:path";
import type { CellResult, CellState } from "./runner.ts";

const STATE_LABELS: Readonly<Record<CellState, string>> = {
  held: "held",
  broken: "BROKEN",
  not_reached: "?",
  failed: "FAILED",
};

/** Formats a cell's result as one line, followed by one line for each
 * violation. */
export function formatCell(result: CellResult): string {
  const { property, step, fault, state, ms, counts, violations } = result;
  const counters = Object.entries(counts).map(([k, v]) => `${k} ${v}`);
  const head =
    `${STATE_LABELS[state].padEnd(6)} ${property} ${step} ${fault} ` +
    `(${ms} ms; ${counters.join(", ")})`;
  return [head, ...violations.map((text) => `       ${text}`)].join("\n");
}

function unique(values: readonly string[]): readonly string[] {
  return [...new Set(values)];
}

function formatRow(
  cells: readonly string[],
  widths: readonly number[],
): string {
  return cells.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join("  ")
    .trimEnd();
}

/** Formats the table of one property, with one row per fault and one column per
 * step. */
function formatProperty(
  property: string,
  results: readonly CellResult[],
): string {
  const property_results = results.filter((row) => row.property === property);
  const steps = unique(property_results.map((row) => row.step));
  const faults = unique(property_results.map((row) => row.fault));
  const rows = faults.map((fault) => [
    fault,
    ...steps.map((step) => {
      const cell = property_results.find((r) =>
        r.step === step && r.fault === fault
      );
      return cell === undefined ? "-" : STATE_LABELS[cell.state];
    }),
  ]);
  const lines = [[property, ...steps], ...rows];
  const widths =
    lines[0]?.map((_, i) =>
      Math.max(...lines.map((row) => row[i]?.length ?? 0))
    ) ??
      [];
  return lines.map((row) => formatRow(row, widths)).join("\n");
}

/** Formats one table per property and the number of cells in each state. */
export function formatTable(results: readonly CellResult[]): string {
  const tables = unique(results.map((row) => row.property))
    .map((property) => formatProperty(property, results));
  const totals = Object.keys(STATE_LABELS).map((state) => {
    const count = results.filter((row) => row.state === state).length;
    return `${count} ${state}`;
  });
  return [...tables, totals.join(", ")].join("\n\n");
}

/** Writes the results to a JSON file and creates its directory if needed. */
export async function writeResults(
  file: string,
  run: {
    readonly seed: number;
    readonly mutation: string | undefined;
    readonly results: readonly CellResult[];
  },
): Promise<void> {
  await mkdir(dirname(file), { recursive: true });
  await writeFile(file, JSON.stringify(run, undefined, 2) + "\n");
}
