/** Creation of a session's object in the store.
 *
 * @module
 */
import {
  type Clock,
  type EventLog,
  invariant,
  type Metrics,
  type ObjectStore,
  type Session,
} from "@banyanlb/core";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { ROUNDS_PER_TERM, STORE_CALL_TIMEOUT_RATIO } from "./constants.ts";
import type { LeasePeers } from "./lease_peers.ts";
import { SessionWrite } from "./session_write.ts";
import { sleepUnlessAborted } from "./sleep.ts";

/** Dependencies of a lease. */
export interface LeaseDeps {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly peers: LeasePeers;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** Settings of a lease. `term_ms` and `last_term_ms` must be the same in every
 * process of a fleet. */
export interface LeaseOptions {
  /** Session id; each start of a process needs a new one. */
  readonly id: string;
  readonly term_ms: number;
  /** Longest validity after the last renewal that the store confirmed, however
   * long the successors' promises last. */
  readonly last_term_ms: number;
  readonly successors: readonly string[];
  /** Aborts a start that waits for the store. */
  readonly signal?: AbortSignal;
}

/** Why a lease could not be started or ended. */
export interface LeaseError {
  readonly kind: "id_in_use" | "aborted" | "in_doubt";
  readonly message: string;
}

/** A renewal that the store confirmed. `sent_at` is the clock reading just
 * before the write was sent. */
export interface ConfirmedRenewal {
  readonly version: string;
  readonly value: Session;
  readonly sent_at: number;
}

/** Creates the object of a session. Retries while the store does not answer.
 * Errors: `id_in_use`, `aborted`. */
export async function createSession(
  deps: LeaseDeps,
  options: LeaseOptions,
): Promise<Result<ConfirmedRenewal, LeaseError>> {
  const { store, clock } = deps;
  const { id, term_ms, successors, signal } = options;
  invariant(options.last_term_ms >= term_ms, {
    code: 200,
    message: "last_term_ms is shorter than term_ms",
  });
  const write_id = randomUUID();
  const value: Session = {
    id,
    seq: 0,
    term_ms,
    successors,
    state: "live",
    write_id,
  };
  const write = new SessionWrite({
    store,
    clock,
    value,
    base_version: undefined,
    timeout_ms: term_ms * STORE_CALL_TIMEOUT_RATIO,
  });
  while (signal?.aborted !== true) {
    const outcome = await write.attempt();
    if (outcome.kind === "landed") return ok({ ...outcome, value });
    if (outcome.kind === "lost") return err(idInUse(id));
    await sleepUnlessAborted(clock, term_ms / ROUNDS_PER_TERM, signal);
  }
  return err({ kind: "aborted", message: "start was aborted; start again" });
}

function idInUse(id: string): LeaseError {
  return { kind: "id_in_use", message: `session ${id} exists; use a new id` };
}
