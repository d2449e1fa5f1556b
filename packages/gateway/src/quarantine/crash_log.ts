/** The fields of log lines about suspects.
 *
 * @module
 */
import type { HeldSuspect } from "@banyanlb/serving";

/** Why a suspect is held, as fields of a log line. */
export function heldFields(
  { suspect, ...evidence }: HeldSuspect,
): Readonly<Record<string, unknown>> {
  return { part: suspect, ...evidence };
}
