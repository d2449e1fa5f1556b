/** Output as tables or JSON.
 *
 * @module
 */

/** Form of the output. */
export type OutputFormat = "table" | "json";

/** A row of a table. */
export type Row = Readonly<Record<string, unknown>>;

/** Where a command writes. */
export interface CtlIo {
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Aborted when the operator ends a live view. */
  readonly signal: AbortSignal;
}

function toCell(value: unknown): string {
  if (value === undefined || value === null) return "-";
  if (typeof value === "object") return JSON.stringify(value);
  return String(value);
}

/** Rows as a table with aligned columns.
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

/** Rows in the form asked for. */
export function formatRows(rows: readonly Row[], format: OutputFormat): string {
  return format === "json" ? JSON.stringify(rows, null, 2) : formatTable(rows);
}

/** One result in the form asked for. */
export function formatResult(row: Row, format: OutputFormat): string {
  if (format === "json") return JSON.stringify(row, null, 2);
  return Object.entries(row)
    .map(([name, value]) => `${name}: ${toCell(value)}`)
    .join("\n");
}
