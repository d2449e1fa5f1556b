/** Changes `Content-Length` in the headers of responses that are forwarded.
 *
 * @module
 */

/** Returns the headers (name, value, name, value...) without
 * `Content-Length`. */
export function withoutContentLength(headers: readonly string[]): string[] {
  const remaining: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] ?? "";
    if (name.toLowerCase() === "content-length") continue;
    remaining.push(name, headers[i + 1] ?? "");
  }
  return remaining;
}

/** Returns the headers with `Content-Length` set to `length`, in bytes. */
export function withContentLength(
  headers: readonly string[],
  length: number,
): string[] {
  return [...withoutContentLength(headers), "Content-Length", String(length)];
}
