/** Log events of intent records, numbers 500 to 599.
 *
 * @module
 */
import type { LogEvent } from "@banyanlb/core";

/** The store may or may not have written the intent record. The call was
 * refused and not sent. */
export const INTENT_IN_DOUBT: LogEvent = {
  id: 500,
  severity: "warn",
  text: "intent record in doubt; the call was refused, check the store",
};

/** A call's outcome could not be written to the store. A repeat of the call is
 * refused with `already_taken`. */
export const INTENT_NOT_RECORDED: LogEvent = {
  id: 501,
  severity: "warn",
  text:
    "outcome not recorded; a repeat of the call is refused as already_taken",
};

/** Another writer changed the record of an attempt while the attempt was
 * running. */
export const INTENT_CHANGED: LogEvent = {
  id: 502,
  severity: "error",
  text:
    "intent record changed by another writer; check what writes to the store",
};
