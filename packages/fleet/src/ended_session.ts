/** Check that a member's session has ended.
 *
 * @module
 */
import type { ObjectStore, Session, StoreKey } from "@banyanlb/core";
import { err, ok, type Result } from "neverthrow";
import { STORE_CALL_TIMEOUT_MS } from "./constants.ts";
import type { FleetError } from "./fleet_error.ts";
import { toFleetError } from "./fleet_object.ts";

/** An ended session. `remove` deletes its object from the store. */
export interface EndedSession {
  readonly remove: () => Promise<void>;
}

/** Reads a session that is expected to have ended. Returns `undefined` if its
 * object is missing. Error: `not_ended` if the session is live. */
export async function readEndedSession(
  store: ObjectStore,
  id: string,
): Promise<Result<EndedSession | undefined, FleetError>> {
  const key: StoreKey = { kind: "session", name: id };
  const options = { timeout_ms: STORE_CALL_TIMEOUT_MS };
  const result = await store.get<Session>(key, options);
  if (result.isErr()) {
    const { error } = result;
    return error.kind === "not_found"
      ? ok(undefined)
      : err(toFleetError(error));
  }
  const { version, value } = result.value;
  if (value.state !== "ended") return err(notEnded(id));
  return ok({
    async remove() {
      await store.remove(key, version, options);
    },
  });
}

/** Returns the error for the removal of a member whose session has not
 * ended. */
export function notEnded(session_id: string): FleetError {
  return {
    kind: "not_ended",
    message: `session ${session_id} is not ended; end it first`,
  };
}
