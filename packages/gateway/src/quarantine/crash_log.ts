/** The fields of log lines about suspects.
 *
 * @module
 */
import { type HeldSuspect, isRequestKey } from "@banyanlb/serving";

/** The name of a suspect, under the field of its kind. */
export function nameField(suspect: string): Readonly<Record<string, string>> {
  return isRequestKey(suspect) ? { request: suspect } : { part: suspect };
}

/** Why a suspect is held, as fields of a log line. */
export function heldFields(
  { suspect, ...evidence }: HeldSuspect,
): Readonly<Record<string, unknown>> {
  return { ...nameField(suspect), ...evidence };
}
