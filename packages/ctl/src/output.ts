/** Formatting of output as tables or JSON.
 *
 * @module
 */

/** Output format. */
export type OutputFormat = "table" | "json";

/** A row of a table; the keys are the column names. */
export type Row = Readonly<Record<string, unknown>>;

/** Output streams, environment and interrupt signal of a command. */
export interface CtlIo {
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Aborted when the operator interrupts a live view. */
  readonly signal: AbortSignal;
}

function toCell(value: unknown): string {
  if (value === undefined || value === null) return "-";
  if (typeof value === "object") return JSON.stringify(value);
  return String(value);
}

/** Formats rows as a table with aligned columns.
 *
 * @example
 * ```ts
 * formatTable([{ name: "a", base: 1 }]);
 * // NAME  BASE
 * // a     1
 * ```
 */
export function formatTable(rows: readonly Row[]): string {
  if (rows.length === 0) return "nothing found";
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const head = columns.map((column) => column.toUpperCase());
  const cells = rows.map((row) => columns.map((c) => toCell(row[c])));
  const widths = columns.map((_, i) =>
    Math.max(...[head, ...cells].map((line) => line[i]?.length ?? 0))
  );
  return [head, ...cells]
    .map((line) =>
      line.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join("  ").trimEnd()
    )
    .join("\n");
}

/** Formats rows as a table or JSON. */
export function formatRows(rows: readonly Row[], format: OutputFormat): string {
  return format === "json" ? JSON.stringify(rows, null, 2) : formatTable(rows);
}

/** Formats one result as `NAME: VALUE` lines or JSON. */
export function formatResult(row: Row, format: OutputFormat): string {
  if (format === "json") return JSON.stringify(row, null, 2);
  return Object.entries(row)
    .map(([name, value]) => `${name}: ${toCell(value)}`)
    .join("\n");
}
