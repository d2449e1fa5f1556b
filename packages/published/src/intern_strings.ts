/** String interning: equal strings of many objects share one copy in memory.
 *
 * @module
 */
import type { ConfigObject } from "@banyanlb/core";

/** Maximum number of interned strings; when it is reached, the table is
 * cleared. */
const MAX_INTERNED_STRINGS = 4_096;

const interned_strings = new Map<string, string>();

function intern(text: string): string {
  const interned = interned_strings.get(text);
  if (interned !== undefined) return interned;
  if (interned_strings.size >= MAX_INTERNED_STRINGS) interned_strings.clear();
  interned_strings.set(text, text);
  return text;
}

/** A copy of a key whose workspace name is interned. Other objects are returned
 * unchanged. */
export function internStrings(object: ConfigObject): ConfigObject {
  if (object.kind !== "key") return object;
  return { ...object, workspace: intern(object.workspace) };
}
