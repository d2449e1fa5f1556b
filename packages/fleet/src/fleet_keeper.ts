/** Follows the fleet object and changes it.
 *
 * @module
 */
import type { LogEvent, Member } from "@banyanlb/core";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { notEnded, readEndedSession } from "./ended_session.ts";
import {
  FLEET_CHANGED,
  FLEET_CREATED,
  FLEET_JOINED,
  FLEET_LEFT,
  LISTENER_FAILED,
  MEMBER_REMOVED,
  MOVE_IN_DOUBT,
  MOVE_RESOLVED,
  SLOTS_MOVED,
} from "./events.ts";
import {
  createFleet,
  type FleetChange,
  joinChange,
  leaveChange,
  markLeavingChange,
  moveChange,
  removeChange,
} from "./fleet_change.ts";
import type { FleetError } from "./fleet_error.ts";
import { RECHECK_INTERVAL_MS } from "./constants.ts";
import { followFleet } from "./follow_fleet.ts";
import {
  FleetObject,
  type FleetWrite,
  type StoredFleet,
  toFleetError,
} from "./fleet_object.ts";
import { FleetView } from "./fleet_view.ts";
import type {
  FleetListener,
  KeeperDeps,
  KeeperOptions,
} from "./fleet_keeper_options.ts";
import type { SlotMove } from "./slot_plan.ts";

/** A hand-over of slots that the store did not confirm. */
interface MoveInDoubt {
  readonly write: FleetWrite;
  readonly slots: ReadonlySet<number>;
}

/** Maintains this member's view of the fleet, and makes this member's changes
 * to the fleet one at a time.
 *
 * @example
 * ```ts
 * const keeper = new FleetKeeper(deps, { self, regions, slots_per_region });
 * const unsubscribe = keeper.onChange((view) => owner.update(view));
 * await keeper.join();
 * await keeper.moveSlots(planMoves(keeper.view()!, self.id));
 * ```
 */
export class FleetKeeper {
  readonly #deps: KeeperDeps;
  readonly #options: KeeperOptions;
  readonly #object: FleetObject;
  readonly #listeners = new Set<FleetListener>();
  readonly #stop = new AbortController();
  #recheck = new AbortController();
  #rechecked_at = -Infinity;
  #latest: StoredFleet | undefined;
  #view: FleetView | undefined;
  #move_in_doubt: MoveInDoubt | undefined;
  #change_queue: Promise<unknown> = Promise.resolve();
  #follow_task: Promise<void> | undefined;

  constructor(deps: KeeperDeps, options: KeeperOptions) {
    this.#deps = deps;
    this.#options = options;
    this.#object = new FleetObject(deps.store, deps.clock);
  }

  /** Returns the last fleet that was read; `undefined` before `join`. */
  view(): FleetView | undefined {
    return this.#view;
  }

  /** Reads the members without joining, for example to choose successors before
   * a lease is started. Empty if there is no fleet yet. */
  readMembers(): ResultAsync<readonly Member[], FleetError> {
    return new ResultAsync(this.#readMembers());
  }

  /** Returns the slots of this member whose hand-over is not confirmed. They
   * must not be used. */
  slotsInDoubt(): ReadonlySet<number> {
    return this.#move_in_doubt?.slots ?? new Set();
  }

  /** Registers a listener for new views. Returns a function that removes it. */
  onChange(listener: FleetListener): () => void {
    const registration: FleetListener = (view, previous) =>
      listener(view, previous);
    this.#listeners.add(registration);
    return () => {
      this.#listeners.delete(registration);
    };
  }

  /** Joins the fleet and follows it from then on. If the fleet is missing, it
   * is created with this member as the holder of every slot. May be called
   * again. */
  join(): ResultAsync<void, FleetError> {
    return this.#runSerially(() => this.#join());
  }

  /** Removes a member whose session has ended and assigns its slots, in one
   * write, to the live members among `recipient_ids`, by default to any live
   * members. Any member may call it, repeatedly. Error: `not_ended` while the
   * session has not ended. */
  removeEnded(
    session_id: string,
    recipient_ids?: readonly string[],
  ): ResultAsync<void, FleetError> {
    return this.#runSerially(async () => {
      const { store } = this.#deps;
      const ended = await readEndedSession(store, session_id);
      if (ended.isErr()) return err(ended.error);
      // A missing session object does not prove the end of the session while
      // the fleet still contains the member.
      if (ended.value === undefined && this.#isReferenced(session_id)) {
        return err(notEnded(session_id));
      }
      const generation_before = this.#latest?.value.generation;
      const result = await this.#change(
        removeChange(session_id, recipient_ids),
      );
      if (result.isErr()) return result;
      if (this.#latest?.value.generation !== generation_before) {
        this.#recordEvent(MEMBER_REMOVED, "removed", { member: session_id });
      }
      // The session object is no longer needed. If its removal fails, a small
      // object stays in the store.
      if (ended.value !== undefined) await ended.value.remove();
      return result;
    });
  }

  /** Hands over slots of this member, which must stop using them before the
   * call. After the error `in_doubt` neither this member nor the new holder may
   * use them until a retry of the call succeeds or fails with another error;
   * `slotsInDoubt` returns them. */
  moveSlots(moves: readonly SlotMove[]): ResultAsync<void, FleetError> {
    return this.#runSerially(async () => {
      const resolved = await this.#resolveMoveInDoubt();
      if (resolved.isErr()) return resolved;
      const result = await this.#change(
        moveChange(this.#self.id, moves),
        moves,
      );
      if (result.isOk() && moves.length > 0) {
        this.#recordEvent(SLOTS_MOVED, "moved", { slots: moves.length });
      }
      return result;
    });
  }

  /** Marks this member as leaving, so that it is assigned no more slots. */
  setLeaving(): ResultAsync<void, FleetError> {
    return this.#runSerially(() =>
      this.#change(markLeavingChange(this.#self.id))
    );
  }

  /** Removes this member from the fleet. Error: `slots_held` until all its
   * slots are handed over. */
  leave(): ResultAsync<void, FleetError> {
    return this.#runSerially(async () => {
      const resolved = await this.#resolveMoveInDoubt();
      if (resolved.isErr()) return resolved;
      const result = await this.#change(leaveChange(this.#self.id));
      if (result.isOk()) this.#recordEvent(FLEET_LEFT, "left", {});
      return result;
    });
  }

  /** Checks whether the store holds a newer fleet, at most once in
   * `RECHECK_INTERVAL_MS`. Call it when another member contradicts this view:
   * the long poll may wait on a connection that is dead. */
  recheck(): void {
    const now = this.#deps.clock.now();
    if (now - this.#rechecked_at < RECHECK_INTERVAL_MS) return;
    this.#rechecked_at = now;
    const previous = this.#recheck;
    this.#recheck = new AbortController();
    previous.abort(new Error("checking for a newer fleet"));
  }

  /** Stops following the fleet and waits for pending changes. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#change_queue;
    await this.#follow_task;
  }

  get #self(): Member {
    return this.#options.self;
  }

  /** Runs changes one after another, so that each starts from the result of the
   * previous one. */
  #runSerially(
    task: () => Promise<Result<void, FleetError>>,
  ): ResultAsync<void, FleetError> {
    const run = this.#change_queue.then(task);
    this.#change_queue = run.catch(() => undefined);
    return new ResultAsync(run);
  }

  async #readMembers(): Promise<Result<readonly Member[], FleetError>> {
    const stored = await this.#object.read();
    if (stored.isOk()) return ok(stored.value.value.members);
    const { error } = stored;
    return error.kind === "not_found" ? ok([]) : err(toFleetError(error));
  }

  async #join(): Promise<Result<void, FleetError>> {
    const found = await this.#object.readOrCreate(() => {
      this.#recordEvent(FLEET_CREATED, "created", {});
      return createFleet(this.#self, this.#options);
    });
    if (found.isErr()) return err(toFleetError(found.error));
    this.#adopt(found.value);
    const result = await this.#change(joinChange(this.#self));
    if (result.isErr()) return result;
    this.#recordEvent(FLEET_JOINED, "joined", { member: this.#self.id });
    this.#follow_task ??= followFleet(this.#object, {
      ...this.#deps,
      signal: this.#stop.signal,
      recheckSignal: () => this.#recheck.signal,
      version: () => this.#latest?.version,
      adopt: (object) => this.#adopt(object),
    });
    return result;
  }

  async #change(
    change: FleetChange,
    moves: readonly SlotMove[] = [],
  ): Promise<Result<void, FleetError>> {
    const result = await this.#object.change(change, {
      known: this.#latest,
      adopt: (object) => this.#adopt(object),
    });
    if (result.isOk()) {
      this.#adopt(result.value);
      return ok(undefined);
    }
    const error = result.error;
    if (error.kind !== "unresolved") return err(error);
    if (moves.length > 0) {
      const slots = new Set(moves.map(({ slot }) => slot));
      this.#move_in_doubt = { write: error.write, slots };
      this.#recordEvent(MOVE_IN_DOUBT, "move_in_doubt", { slots: slots.size });
    }
    return err(inDoubt());
  }

  /** Sends the unconfirmed write again with its own base version. Once the
   * write has taken effect or the base version has been replaced, no earlier
   * attempt can take effect any more. */
  async #resolveMoveInDoubt(): Promise<Result<void, FleetError>> {
    const move = this.#move_in_doubt;
    if (move === undefined) return ok(undefined);
    const written = await this.#object.write(move.write);
    if (written.isOk()) {
      this.#adopt(written.value);
      return ok(undefined);
    }
    if (written.error.kind !== "conflict") return err(inDoubt());
    const read = await this.#object.read();
    if (read.isErr()) return err(inDoubt());
    this.#adopt(read.value);
    return this.#move_in_doubt === undefined ? ok(undefined) : err(inDoubt());
  }

  #isReferenced(id: string): boolean {
    const view = this.#view;
    if (view === undefined) return true;
    return view.memberOf(id) !== undefined || view.slotsHeldBy(id).length > 0;
  }

  /** Replaces the view by that of a newer fleet and notifies the listeners. A
   * fleet of the same or an older generation is ignored. */
  #adopt(object: StoredFleet): void {
    const current_generation = this.#latest?.value.generation ?? 0;
    if (object.value.generation <= current_generation) return;
    this.#clearMoveInDoubt();
    const previous = this.#view;
    const view = new FleetView(object.value);
    this.#latest = object;
    this.#view = view;
    this.#deps.metrics.gauge("fleet.generation", view.generation);
    this.#deps.metrics.gauge("fleet.members", view.members.length);
    this.#deps.log.write(FLEET_CHANGED, { generation: view.generation });
    for (const listener of [...this.#listeners]) {
      this.#notify(listener, view, previous);
    }
  }

  /** Marks an unconfirmed hand-over as resolved. A generation later than the
   * base of the write shows who holds the slots, and the write can no longer
   * take effect. Every newly adopted fleet is later, because the base was
   * adopted before the write was sent. */
  #clearMoveInDoubt(): void {
    const move = this.#move_in_doubt;
    if (move === undefined) return;
    this.#move_in_doubt = undefined;
    this.#recordEvent(MOVE_RESOLVED, "move_resolved", {
      slots: move.slots.size,
    });
  }

  #notify(
    listener: FleetListener,
    view: FleetView,
    previous: FleetView | undefined,
  ): void {
    try {
      listener(view, previous);
    } catch (error) {
      this.#deps.log.write(LISTENER_FAILED, { error: String(error) });
    }
  }

  #recordEvent(
    event: LogEvent,
    outcome: string,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    this.#deps.log.write(event, fields);
    this.#deps.metrics.count("fleet.change", { outcome });
  }
}

function inDoubt(): FleetError {
  return {
    kind: "in_doubt",
    message: "the store's answer was lost; repeat the call to resolve it",
  };
}
