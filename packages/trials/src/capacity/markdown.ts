/** Numbers, tables and generated sections of a Markdown page. Tables are laid
 * out as the project's formatter writes them.
 *
 * @module
 */

/** Minimum number of dashes below a header. */
const MIN_COLUMN_WIDTH = 3;

const PRECISION = 3;
const MIN_INTEGER = 100_000;
const MIN_FIXED = 0.001;

/** Formats a number with three significant digits; "never" if not finite.
 *
 * @example
 * ```ts
 * formatNumber(1234.5); // "1,230"
 * ```
 */
export function formatNumber(value: number): string {
  if (!Number.isFinite(value)) return "never";
  const abs = Math.abs(value);
  if (abs !== 0 && abs < MIN_FIXED) return value.toExponential(PRECISION - 1);
  const rounded = Number(value.toPrecision(PRECISION));
  if (abs >= MIN_INTEGER) return Math.round(rounded).toLocaleString("en-US");
  return rounded.toLocaleString("en-US", { maximumFractionDigits: 6 });
}

function padRow(cells: readonly string[], widths: readonly number[]): string {
  const padded = cells.map((cell, i) => cell.padEnd(widths[i] ?? 0));
  return `| ${padded.join(" | ")} |`;
}

/** Formats a table with aligned columns. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = header.map((cell, i) =>
    Math.max(
      MIN_COLUMN_WIDTH,
      cell.length,
      ...rows.map((row) => row[i]?.length ?? 0),
    )
  );
  const dashes = widths.map((width) => "-".repeat(width));
  return [header, dashes, ...rows].map((row) => padRow(row, widths))
    .join("\n");
}

/** Replaces the text between the begin and end comments of a section. Throws if
 * the page lacks one of the comments. */
export function replaceSection(
  page: string,
  name: string,
  text: string,
): string {
  const begin = `<!-- begin ${name} -->`;
  const end = `<!-- end ${name} -->`;
  const begin_index = page.indexOf(begin);
  const end_index = page.indexOf(end);
  if (begin_index < 0 || end_index < begin_index) {
    throw new Error(`the page lacks "${begin}" and "${end}"; add them`);
  }
  const before = page.slice(0, begin_index + begin.length);
  return `${before}\n\n${text}\n\n${page.slice(end_index)}`;
}
