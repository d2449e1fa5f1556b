/** Checks that no stream has events of two software versions.
 *
 * @module
 */
import type { Attempt } from "./checks.ts";

const VERSION_LINE = /^: (.+)$/gm;

/** Checks each stream over all attempts of its caller.
 *
 * @example
 * ```ts
 * checkStreamVersions(attempts); // []
 * ```
 */
export function checkStreamVersions(
  attempts: readonly Attempt[],
): readonly string[] {
  const versions = new Map<string, Set<string>>();
  for (const { id, kind, resumes, body } of attempts) {
    if (kind !== "stream") continue;
    const stream = resumes ?? id;
    const known = versions.get(stream) ?? new Set();
    for (const [, version = ""] of body.matchAll(VERSION_LINE)) {
      known.add(version);
    }
    versions.set(stream, known);
  }
  return [...versions].flatMap(([stream, known]) =>
    known.size < 2
      ? []
      : [`stream ${stream} has events of ${[...known].sort().join(" and ")}`]
  );
}
