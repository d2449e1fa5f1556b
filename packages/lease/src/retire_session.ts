/** Ends the session of a process that an operator has found to be dead.
 *
 * @module
 */
import {
  type Clock,
  type ObjectStore,
  type Session,
  type StoreError,
  type Versioned,
} from "@banyanlb/core";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { randomUUID } from "node:crypto";
import { withDriftMargin } from "./drift.ts";
import { sessionKey } from "./session_write.ts";

/** Why a session was not ended. */
export interface RetireError {
  readonly kind: "alive" | "unknown_session" | "unavailable";
  readonly message: string;
}

/** Dependencies of {@linkcode retireSession}. */
export interface RetireDeps {
  readonly store: ObjectStore;
  readonly clock: Clock;
}

function toRetireError(error: StoreError): RetireError {
  if (error.kind === "not_found") {
    const message = "there is no such session; see the list of instances";
    return { kind: "unknown_session", message };
  }
  if (error.kind === "conflict") {
    const message = "the session was renewed; its process is alive, drain it";
    return { kind: "alive", message };
  }
  return { kind: "unavailable", message: `${error.message}; try again` };
}

async function retire(
  deps: RetireDeps,
  id: string,
): Promise<Result<void, RetireError>> {
  const { clock, store } = deps;
  const current = await store.get<Session>(sessionKey(id));
  if (current.isErr()) return err(toRetireError(current.error));
  const { value, version } = current.value;
  if (value.state === "ended") return ok(undefined);
  // A holder that reaches the store changes the version within a term, and the
  // update below then fails with a conflict.
  await clock.sleep(withDriftMargin(value.term_ms));
  const ended: Versioned<Session> = {
    version,
    value: { ...value, state: "ended", write_id: randomUUID() },
  };
  const update_result = await store.update(sessionKey(id), ended);
  return update_result.map(() => undefined).mapErr(toRetireError);
}

/** Ends a session that is not renewed for one term. The calling process need
 * not be a successor of the session. Call it only if an operator has confirmed
 * that the session's process is dead: the lease of a process that cannot reach
 * the store may still be valid by promises.
 *
 * Errors: `alive` if the session was renewed, `unknown_session`, `unavailable`.
 *
 * @example
 * ```ts
 * const result = await retireSession({ store, clock }, "entry-1.3fa9c1d2");
 * ```
 */
export function retireSession(
  deps: RetireDeps,
  id: string,
): ResultAsync<void, RetireError> {
  return new ResultAsync(retire(deps, id));
}
