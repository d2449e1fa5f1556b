/** Sharing of equal strings between objects, to hold a large set in memory.
 *
 * @module
 */
import type { ConfigObject } from "@banyanlb/core";

/** Distinct names that are shared; the table is emptied beyond. */
const MAX_INTERNED_STRINGS = 4_096;

const interned_strings = new Map<string, string>();

function intern(text: string): string {
  const interned = interned_strings.get(text);
  if (interned !== undefined) return interned;
  if (interned_strings.size >= MAX_INTERNED_STRINGS) interned_strings.clear();
  interned_strings.set(text, text);
  return text;
}

/** A copy of the object whose references use one string for equal names. */
export function internStrings(object: ConfigObject): ConfigObject {
  if (object.kind !== "key") return object;
  return { ...object, workspace: intern(object.workspace) };
}
