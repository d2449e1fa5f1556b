/** Proof that a member's session is ended.
 *
 * @module
 */
import type { ObjectStore, Session, StoreKey } from "@banyanlb/core";
import { err, ok, type Result } from "neverthrow";
import { STORE_CALL_TIMEOUT_MS } from "./constants.ts";
import type { FleetError } from "./fleet_error.ts";
import { toFleetError } from "./fleet_object.ts";

/** An ended session. `remove` deletes its object. */
export interface EndedSession {
  readonly remove: () => Promise<void>;
}

/** Reads a session that should be ended; `undefined` if it is missing.
 * Error `not_ended` if it is live. */
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

/** The error of a removal that may not be made yet. */
export function notEnded(session_id: string): FleetError {
  return {
    kind: "not_ended",
    message: `session ${session_id} is not ended; end it first`,
  };
}
