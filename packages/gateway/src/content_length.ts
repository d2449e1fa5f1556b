/** Lengths in the headers of answers that are passed on.
 *
 * @module
 */

/** The headers (name, value, name, value...) without a length. */
export function withoutContentLength(headers: readonly string[]): string[] {
  const remaining: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] ?? "";
    if (name.toLowerCase() === "content-length") continue;
    remaining.push(name, headers[i + 1] ?? "");
  }
  return remaining;
}

/** The headers with this length. */
export function withContentLength(
  headers: readonly string[],
  length: number,
): string[] {
  return [...withoutContentLength(headers), "Content-Length", String(length)];
}
