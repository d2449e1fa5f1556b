/** Synchronizes this instance's shares and owned targets with the fleet's slot
 * table and the configuration in force, and moves slots to other instances.
 *
 * @module
 */
import type { Clock, EventLog, Target } from "@banyanlb/core";
import {
  type FleetKeeper,
  type FleetView,
  planMoves,
  type SlotMove,
} from "@banyanlb/fleet";
import {
  encodeHandoff,
  type OwnerTable,
  type TargetHandoff,
} from "@banyanlb/permits";
import type { Snapshot } from "@banyanlb/published";
import type { RateShares, SlotLevels } from "@banyanlb/rate";
import {
  HANDOFF_RETENTION_MS,
  REBALANCE_INTERVAL_MS,
  WEIGHT_STORE_WORKSPACE,
} from "./constants.ts";
import { SLOT_MOVE_FAILED, SLOT_MOVED } from "./events.ts";
import type { InstanceListWatch } from "./instance_list_watch.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { SlotHandoff } from "./peer_router.ts";
import type { FullSettings } from "./settings.ts";

/** Dependencies of the slot coordinator. */
export interface SlotCoordinatorDeps {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly settings: FullSettings;
  /** Session id of this instance. */
  readonly self: string;
  readonly fleet: FleetKeeper;
  readonly shares: RateShares;
  readonly owners: OwnerTable;
  readonly links: PeerLinks;
  readonly list_watch: InstanceListWatch;
  readonly snapshot: () => Snapshot | undefined;
}

/** A slot on which this instance has stopped granting, with the state for its
 * next holder. */
interface ReleasedSlot {
  readonly move: SlotMove;
  readonly levels: SlotLevels;
  readonly targets: readonly TargetHandoff[];
}

/** A handoff received from a slot's former holder. */
interface ReceivedHandoff {
  readonly handoff: SlotHandoff;
  readonly received_at: number;
}

/** Acquires, moves and releases this instance's slots. */
export class SlotCoordinator {
  readonly #deps: SlotCoordinatorDeps;
  readonly #stop_controller = new AbortController();
  readonly #handoffs = new Map<number, ReceivedHandoff>();
  readonly #moving_slots = new Set<number>();
  #balanced_view: FleetView | undefined;
  #task: Promise<void> | undefined;

  constructor(deps: SlotCoordinatorDeps) {
    this.#deps = deps;
  }

  /** Starts the periodic rebalancing, which moves slots to the instances that
   * should hold them. */
  start(): void {
    this.#task ??= this.#rebalance();
  }

  /** Updates the shares and the owned targets to match the current state. Call
   * it after each change of the fleet, the configuration or the instance
   * list. */
  reconcile(): void {
    const view = this.#deps.fleet.view();
    const snapshot = this.#deps.snapshot();
    if (view === undefined || snapshot === undefined) return;
    this.#setWorkspaces(view, snapshot);
    const held_slots = view.slotsHeldBy(this.#deps.self)
      .filter((slot) => !this.#moving_slots.has(slot));
    for (const slot of held_slots) this.#holdShare(view, slot);
    this.#reconcileTargets(view, { snapshot, held: new Set(held_slots) });
    this.#dropExpiredHandoffs();
  }

  /** Receives a slot's state from its former holder. The handoff may arrive
   * before or after the move is visible in this instance's view of the fleet's
   * slot table. */
  receiveHandoff(handoff: SlotHandoff): void {
    const received_at = this.#deps.clock.now();
    this.#handoffs.set(handoff.slot, { handoff, received_at });
    this.reconcile();
  }

  /** True if this instance holds no slot. */
  get has_no_slots(): boolean {
    const view = this.#deps.fleet.view();
    return view === undefined ||
      view.slotsHeldBy(this.#deps.self).length === 0;
  }

  /** Stops the rebalancing. */
  async close(): Promise<void> {
    this.#stop_controller.abort(new Error("closed"));
    await this.#task;
  }

  #setWorkspaces(view: FleetView, snapshot: Snapshot): void {
    const { settings, shares } = this.#deps;
    const workspaces = [...snapshot.list("workspace")].map((workspace) => ({
      name: workspace.name,
      rate: workspace.rate_tokens_per_s,
      burst: workspace.burst_tokens,
      slots: view.shareSlots(workspace.name),
    }));
    const weight_store = {
      name: WEIGHT_STORE_WORKSPACE,
      rate: settings.weight_loads_per_s,
      burst: settings.weight_loads_burst,
      slots: view.shareSlots(WEIGHT_STORE_WORKSPACE),
    };
    shares.setWorkspaces([...workspaces, weight_store]);
  }

  #holdShare(view: FleetView, slot: number): void {
    const epoch = view.epoch(slot);
    if (epoch === undefined) return;
    const handover = this.#handoffOf(slot, epoch)?.levels;
    this.#deps.shares.hold(slot, {
      epoch,
      ...(handover === undefined ? {} : { handover }),
    });
  }

  #handoffOf(slot: number, epoch: number): SlotHandoff | undefined {
    const handoff = this.#handoffs.get(slot)?.handoff;
    return handoff?.epoch === epoch ? handoff : undefined;
  }

  #reconcileTargets(
    view: FleetView,
    options: {
      readonly snapshot: Snapshot;
      readonly held: ReadonlySet<number>;
    },
  ): void {
    const { owners, list_watch } = this.#deps;
    const owned = new Set<string>();
    for (const target of options.snapshot.list("target")) {
      const slot = view.slotOfTarget(target);
      if (slot === undefined || !options.held.has(slot)) continue;
      owned.add(target.name);
      const current_target = list_watch.isLeaving(target.name)
        ? { ...target, leaving: true }
        : target;
      this.#holdTarget(view, { target: current_target, slot });
    }
    for (const name of owners.targets) {
      if (!owned.has(name) && !this.#isMoving(name)) void owners.drop(name);
    }
  }

  #isMoving(name: string): boolean {
    const view = this.#deps.fleet.view();
    const target = this.#deps.snapshot()?.get("target", name);
    if (view === undefined || target === undefined) return false;
    return this.#moving_slots.has(view.slotOfTarget(target) ?? -1);
  }

  #holdTarget(
    view: FleetView,
    placement: { readonly target: Target; readonly slot: number },
  ): void {
    const { owners, snapshot } = this.#deps;
    const { target, slot } = placement;
    const epoch = view.epoch(slot);
    if (epoch === undefined) return;
    const handoff = this.#handoffOf(slot, epoch)?.targets
      .find((candidate) => candidate.target === target.name);
    owners.hold({
      target,
      epoch,
      versions: (name) => snapshot()?.get("version", name),
      known_members: view.members.map((member) => member.id),
      ...(handoff === undefined ? {} : { handoff }),
    });
    owners.updateTarget(target);
  }

  #dropExpiredHandoffs(): void {
    const cutoff_at = this.#deps.clock.now() - HANDOFF_RETENTION_MS;
    for (const [slot, entry] of this.#handoffs) {
      if (entry.received_at < cutoff_at) this.#handoffs.delete(slot);
    }
  }

  async #rebalance(): Promise<void> {
    const { signal } = this.#stop_controller;
    while (!signal.aborted) {
      await this.#moveSlots();
      await this.#deps.clock.sleep(REBALANCE_INTERVAL_MS, signal)
        .catch(() => {});
    }
  }

  async #moveSlots(): Promise<void> {
    const { fleet, self } = this.#deps;
    const view = fleet.view();
    // The plan depends only on the view, so it is still empty if it was empty
    // for the same view.
    if (view === undefined || view === this.#balanced_view) return;
    const moves = planMoves(view, self);
    if (moves.length === 0) {
      this.#balanced_view = view;
      return;
    }
    const targets = this.#targetsBySlot(view);
    const released: ReleasedSlot[] = [];
    for (const move of moves) {
      released.push(
        await this.#releaseSlot(move, targets.get(move.slot) ?? []),
      );
    }
    await this.#writeMoves(moves, released);
    for (const { slot } of moves) this.#moving_slots.delete(slot);
    this.reconcile();
  }

  #targetsBySlot(view: FleetView): ReadonlyMap<number, readonly Target[]> {
    const targets_by_slot = new Map<number, Target[]>();
    for (const target of this.#deps.snapshot()?.list("target") ?? []) {
      const slot = view.slotOfTarget(target);
      if (slot === undefined) continue;
      const slot_targets = targets_by_slot.get(slot) ?? [];
      slot_targets.push(target);
      targets_by_slot.set(slot, slot_targets);
    }
    return targets_by_slot;
  }

  /** Stops granting on a slot before its move is written, so that two holders
   * never grant concurrently. */
  async #releaseSlot(
    move: SlotMove,
    targets: readonly Target[],
  ): Promise<ReleasedSlot> {
    const { owners, shares } = this.#deps;
    this.#moving_slots.add(move.slot);
    const handoffs: TargetHandoff[] = [];
    for (const target of targets) {
      const handoff = await owners.quiesce(target.name);
      if (handoff !== undefined) handoffs.push(handoff);
    }
    const levels = shares.release(move.slot);
    return { move, levels, targets: handoffs };
  }

  /** Writes the moves to the fleet's slot table. Repeats the write while its
   * outcome is in doubt. */
  async #writeMoves(
    moves: readonly SlotMove[],
    released: readonly ReleasedSlot[],
  ): Promise<void> {
    const { clock, fleet, log } = this.#deps;
    const { signal } = this.#stop_controller;
    while (!signal.aborted) {
      const result = await fleet.moveSlots(moves);
      if (result.isOk()) {
        await this.#sendHandoffs(released);
        return;
      }
      const { kind, message } = result.error;
      log.write(SLOT_MOVE_FAILED, { kind, message });
      if (kind !== "in_doubt") {
        await this.#resumeSlots(released);
        return;
      }
      await clock.sleep(REBALANCE_INTERVAL_MS, signal).catch(() => {});
    }
  }

  /** Resumes the shares of released slots whose move certainly failed. Drops
   * their targets, which the next reconciliation holds again. */
  async #resumeSlots(released: readonly ReleasedSlot[]): Promise<void> {
    const { fleet, shares } = this.#deps;
    for (const { move, levels, targets } of released) {
      const epoch = fleet.view()?.epoch(move.slot);
      if (epoch !== undefined) {
        shares.resume(move.slot, { epoch, handover: levels });
      }
      for (const { target } of targets) await this.#deps.owners.drop(target);
    }
  }

  async #sendHandoffs(released: readonly ReleasedSlot[]): Promise<void> {
    const { fleet, links, log, owners } = this.#deps;
    for (const { move, levels, targets } of released) {
      log.write(SLOT_MOVED, { slot: move.slot, to: move.to });
      for (const { target } of targets) await owners.drop(target);
      const epoch = fleet.view()?.epoch(move.slot);
      if (epoch === undefined) continue;
      const wire_targets = targets.map(encodeHandoff);
      const handoff = { slot: move.slot, epoch, levels, targets: wire_targets };
      // A lost handoff only delays the new holder: it then takes the slot over
      // without the former holder's state. No guarantee depends on it.
      await links.callMember(
        move.to,
        (client, limits) => client.p.ho.mutate(handoff, limits),
      ).catch(() => {});
    }
  }
}
