/** Sessions whose object was removed by hand.
 *
 * @module
 */
import type { Clock, ObjectStore, Session } from "@banyanlb/core";
import { randomUUID } from "node:crypto";
import { withDriftMargin } from "./drift.ts";
import { sessionKey } from "./session_write.ts";

/** What the judgement of missing sessions works with. */
export interface MissingSessionOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly term_ms: number;
  readonly last_term_ms: number;
}

/** Remembers since when sessions are missing. Their holders may be valid for
 * the last term by promises, so they count as ended only after it; then an
 * ended object is created, by which every member can tell. */
export class MissingSessions {
  readonly #options: MissingSessionOptions;
  readonly #missing_since = new Map<string, number>();

  constructor(options: MissingSessionOptions) {
    this.#options = options;
  }

  /** Notes that a session was read. */
  recordFound(id: string): void {
    this.#missing_since.delete(id);
  }

  /** Notes that a session is missing; true if it may count as ended. */
  recordMissing(id: string): boolean {
    const now = this.#options.clock.now();
    const missing_since = this.#missing_since.get(id) ?? now;
    this.#missing_since.set(id, missing_since);
    return now >= missing_since + withDriftMargin(this.#options.last_term_ms);
  }

  /** Creates the ended object. True if the store confirmed it. */
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
