/** The operator backend of a running instance: reads and changes its parts.
 *
 * @module
 */
import type { Clock, Member, ObjectStore, Target } from "@banyanlb/core";
import type { FleetKeeper } from "@banyanlb/fleet";
import { retireSession } from "@banyanlb/lease";
import type { OwnerTable } from "@banyanlb/permits";
import {
  ConfigFollower,
  type Edits,
  FreshnessGuard,
  type Publisher,
} from "@banyanlb/published";
import type { RateShares } from "@banyanlb/rate";
import type {
  CounterRow,
  DrainReply,
  InstanceRow,
  OwnershipRow,
  StatusReply,
  TargetRow,
  WorkspaceRow,
} from "./generated/operator_messages.ts";
import type { InFlightRegistry } from "./in_flight_registry.ts";
import type { InstanceListWatch } from "./instance_list_watch.ts";
import { OperatorBackend } from "./operator/mod.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { StatsdMetrics } from "./statsd_metrics.ts";

/** Parts of the instance that the operator backend uses. */
export interface OperatorBackendParts {
  readonly clock: Clock;
  readonly self: Member;
  readonly fleet: FleetKeeper;
  readonly follower: ConfigFollower;
  readonly guard: FreshnessGuard;
  readonly publisher: Publisher;
  readonly owners: OwnerTable;
  readonly shares: RateShares;
  readonly in_flight: InFlightRegistry;
  readonly list_watch: InstanceListWatch;
  readonly links: PeerLinks;
  readonly store: ObjectStore;
  readonly metrics: StatsdMetrics;
}

/** Epoch reported for a target whose slot has no known holder. */
const NO_EPOCH = 0;

/** Handles operators' calls on this instance. */
export class LocalOperatorBackend extends OperatorBackend {
  readonly #parts: OperatorBackendParts;
  readonly #started_at: number;
  readonly #stopInstance: () => void;

  /** `stopInstance` starts a graceful stop of this instance. */
  constructor(parts: OperatorBackendParts, stopInstance: () => void) {
    super();
    this.#parts = parts;
    this.#stopInstance = stopInstance;
    this.#started_at = parts.clock.now();
  }

  override status(): StatusReply {
    const { clock, fleet, follower, guard, self } = this.#parts;
    const view = fleet.view();
    const { serve, reason } = guard.state();
    return {
      instance: self.instance,
      region: self.region,
      failure_domain: self.failure_domain,
      state: view?.memberOf(self.id)?.state ?? "starting",
      generation: follower.generation,
      fleet_generation: view?.generation ?? 0,
      freshness: reason,
      serving: serve,
      members: view?.members.length ?? 0,
      uptime_ms: Math.round(clock.now() - this.#started_at),
    };
  }

  override instances(): readonly InstanceRow[] {
    const view = this.#parts.fleet.view();
    if (view === undefined) return [];
    return view.members.map((member) => ({
      instance: member.instance,
      id: member.id,
      region: member.region,
      failure_domain: member.failure_domain,
      state: member.state,
      caller_url: member.caller_url,
      slots: view.slotsHeldBy(member.id).length,
    }));
  }

  override targets(): readonly TargetRow[] {
    const targets = [...this.snapshot()?.list("target") ?? []];
    return targets.map((target) => this.#toTargetRow(target));
  }

  override ownership(): readonly OwnershipRow[] {
    const view = this.#parts.fleet.view();
    if (view === undefined) return [];
    const targets = [...this.snapshot()?.list("target") ?? []];
    return view.slots.map((slot, index) => ({
      slot: index,
      targets: targets.filter((t) => view.slotOfTarget(t) === index).length,
      region: slot.region,
      instance: view.memberOf(slot.holder)?.instance ?? "",
      epoch: slot.epoch,
    }));
  }

  override workspaces(): readonly WorkspaceRow[] {
    const { fleet, self, shares } = this.#parts;
    const view = fleet.view();
    const own_slots = new Set(view?.slotsHeldBy(self.id) ?? []);
    return [...this.snapshot()?.list("workspace") ?? []].map((workspace) => {
      const slots = view?.shareSlots(workspace.name)
        .filter((slot) => own_slots.has(slot)) ?? [];
      const { level } = shares.levelOf(workspace.name, slots);
      return {
        workspace: workspace.name,
        rate_tokens_per_s: workspace.rate_tokens_per_s,
        burst_tokens: workspace.burst_tokens,
        ...(slots.length === 0 ? {} : { available_tokens: Math.floor(level) }),
      };
    });
  }

  override counters(): readonly CounterRow[] {
    return Object.entries(this.#parts.metrics.totals())
      .map(([counter, value]) => ({ counter, value }));
  }

  override snapshot() {
    return this.#parts.follower.current();
  }

  override publish(edits: Edits) {
    return this.#parts.publisher.publish(edits);
  }

  override check(edits: Edits) {
    return this.#parts.publisher.check(edits);
  }

  override async drainInstance(instance: string): Promise<DrainReply> {
    const { fleet, links, self } = this.#parts;
    if (instance === self.instance) {
      this.#stopInstance();
      return { name: instance, state: "leaving" };
    }
    const member = fleet.view()?.members.find((m) => m.instance === instance);
    if (member === undefined) {
      const message = "see banyanctl status instances for the names";
      return { name: instance, state: "unknown", message };
    }
    return await links.clientOf(member.id).operator.drain_instance
      .mutate({ name: instance });
  }

  override async retire(session_id: string): Promise<DrainReply> {
    const { clock, fleet, store } = this.#parts;
    const result = await retireSession({ store, clock }, session_id);
    if (result.isErr()) {
      const { kind, message } = result.error;
      return { name: session_id, state: kind, message };
    }
    await fleet.removeEnded(session_id);
    return { name: session_id, state: "ended" };
  }

  #toTargetRow(target: Target): TargetRow {
    const { fleet, list_watch, owners } = this.#parts;
    const view = fleet.view();
    const slot = view?.slotOfTarget(target);
    const owner = slot === undefined ? undefined : view?.holder(slot);
    const leaving = target.leaving === true ||
      list_watch.isLeaving(target.name);
    const is_own = owners.targets.includes(target.name);
    return {
      target: target.name,
      type: target.type,
      pool: target.pool,
      region: target.region,
      failure_domain: target.failure_domain,
      owner: owner?.instance ?? "",
      epoch: slot === undefined ? NO_EPOCH : view?.epoch(slot) ?? NO_EPOCH,
      state: leaving ? "leaving" : "live",
      ...(is_own ? { running: owners.running(target.name) } : {}),
    };
  }
}
