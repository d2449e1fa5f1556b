/** Lengths in the headers of answers that are passed on.
 *
 * @module
 */

/** The headers (name, value, name, value...) without a length. */
export function withoutLength(headers: readonly string[]): string[] {
  const kept: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] ?? "";
    if (name.toLowerCase() === "content-length") continue;
    kept.push(name, headers[i + 1] ?? "");
  }
  return kept;
}

/** The headers with this length. */
export function withLength(
  headers: readonly string[],
  length: number,
): string[] {
  return [...withoutLength(headers), "Content-Length", String(length)];
}
