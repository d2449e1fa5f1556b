/** Formats tables for the terminal.
 *
 * @module
 */

/** Formats rows as aligned lines. The first column is left-aligned, all others
 * are right-aligned.
 *
 * @example
 * ```ts
 * formatTable([["measure", "a"], ["loads", "12"]]).join("\n");
 * ```
 */
export function formatTable(
  rows: readonly (readonly string[])[],
): readonly string[] {
  const columns = Math.max(...rows.map((row) => row.length));
  const widths = Array.from(
    { length: columns },
    (_, i) => Math.max(...rows.map((row) => row[i]?.length ?? 0)),
  );
  return rows.map((row) =>
    widths.map((width, i) => {
      const cell = row[i] ?? "";
      return i === 0 ? cell.padEnd(width) : cell.padStart(width);
    }).join("  ")
  );
}
