/** Sessions whose object was removed from the store by hand.
 *
 * @module
 */
import type { Clock, ObjectStore, Session } from "@banyanlb/core";
import { randomUUID } from "node:crypto";
import { withDriftMargin } from "./drift.ts";
import { sessionKey } from "./session_write.ts";

/** Dependencies and settings of {@linkcode MissingSessions}. */
export interface MissingSessionOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly term_ms: number;
  readonly last_term_ms: number;
}

/** Records since when sessions have been missing. The lease of a missing
 * session's holder may stay valid by promises for the last term, so the session
 * counts as ended only after the last term. Its object is then created again in
 * the state `ended`, so that every member can read that the session has
 * ended. */
export class MissingSessions {
  readonly #options: MissingSessionOptions;
  readonly #missing_since = new Map<string, number>();

  constructor(options: MissingSessionOptions) {
    this.#options = options;
  }

  /** Records that a session's object exists. */
  recordFound(id: string): void {
    this.#missing_since.delete(id);
  }

  /** Records that a session's object is missing. Returns true if it has been
   * missing long enough to count as ended. */
  recordMissing(id: string): boolean {
    const now = this.#options.clock.now();
    const missing_since = this.#missing_since.get(id) ?? now;
    this.#missing_since.set(id, missing_since);
    return now >= missing_since + withDriftMargin(this.#options.last_term_ms);
  }

  /** Creates the session's object in the state `ended`. Returns true if the
   * store confirmed it. */
  async markEnded(id: string): Promise<boolean> {
    const { store, term_ms } = this.#options;
    const result = await store.create<Session>(sessionKey(id), {
      id,
      seq: 0,
      term_ms,
      successors: [],
      state: "ended",
      write_id: randomUUID(),
    });
    return result.isOk();
  }
}
