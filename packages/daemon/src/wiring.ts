/** Creates the parts of one instance and connects them.
 *
 * @module
 */
import {
  EventLog,
  type Member,
  type ObjectStore,
  SystemClock,
} from "@banyanlb/core";
import { FleetKeeper } from "@banyanlb/fleet";
import { IntentLog } from "@banyanlb/intent";
import {
  chooseSuccessors,
  SessionLease,
  SuccessorWatch,
} from "@banyanlb/lease";
import { OwnerTable, PermitLedger } from "@banyanlb/permits";
import {
  HttpInstanceList,
  HttpObjectStore,
  OpenAiEngineClient,
} from "@banyanlb/clients";
import {
  ConfigFollower,
  FreshnessGuard,
  freshnessTimes,
  Publisher,
} from "@banyanlb/published";
import { RateClient, RateShares } from "@banyanlb/rate";
import { randomUUID } from "node:crypto";
import { pino } from "pino";
import {
  INTENT_SWEEP_SLOT,
  ORDER_TIMEOUT_LEASE_FRACTION,
  ORDER_TIMEOUT_MAX_MS,
} from "./constants.ts";
import { createFreshnessWatch } from "./freshness_watch.ts";
import { InFlightRegistry } from "./in_flight_registry.ts";
import { createIntentSweep } from "./intent_sweep.ts";
import { InstanceListWatch } from "./instance_list_watch.ts";
import {
  TrpcConfigPeers,
  TrpcLeasePeers,
  TrpcPermitPeers,
  TrpcRatePeers,
  TrpcReleaseSender,
} from "./peer_adapters.ts";
import { PauseWatch } from "./pause_watch.ts";
import { PeerLinks } from "./peer_links.ts";
import { PermitClient } from "./permit_client.ts";
import { createQueueFactory, createTargetPolicy } from "./policies.ts";
import { RateLoadBudget } from "./rate_load_budget.ts";
import { RetryBudget } from "./retry_budget.ts";
import type { ServeContext } from "./serve_context.ts";
import type { FullSettings } from "./settings.ts";
import { SlotCoordinator } from "./slot_coordinator.ts";
import { StatsdMetrics } from "./statsd_metrics.ts";
import { TargetClient } from "./target_client.ts";

const SESSION_ID_CHARS = 8;

/** Pause between two attempts to read the store during startup. */
const STORE_RETRY_MS = 200;

/** Parts that don't need a lease. */
export type BaseParts = ReturnType<typeof wireBase>;

/** All parts of an instance, including those that act under the lease. */
export type InstanceParts = ReturnType<typeof wireParts>;

type ConfigParts = ReturnType<typeof wireConfig>;
type RateParts = ReturnType<typeof wireRate>;
type PermitParts = ReturnType<typeof wirePermits>;

/** Returns the HTTP client option for the local address, if the settings name a
 * source address. */
function sourceAddressOptions({ source_address }: FullSettings) {
  return source_address === undefined ? {} : { local_address: source_address };
}

function createStore(settings: FullSettings): ObjectStore {
  return new HttpObjectStore(
    settings.store_url,
    sourceAddressOptions(settings),
  );
}

function createMember(settings: FullSettings): Member {
  return {
    id: `${settings.instance}.${randomUUID().slice(0, SESSION_ID_CHARS)}`,
    instance: settings.instance,
    peer_url: settings.advertise.peer_url,
    caller_url: settings.advertise.caller_url,
    region: settings.region,
    failure_domain: settings.failure_domain,
    state: "live",
  };
}

function createLog(settings: FullSettings): EventLog {
  const base = { instance: settings.instance };
  const destination = pino.destination({ dest: process.stderr.fd });
  return new EventLog(pino({ level: settings.log_level, base }, destination));
}

/** Returns the timeouts of orders to engines. An order must end within the lease
 * time that remains between two renewals. */
function orderTimeouts(settings: FullSettings) {
  const term_limit_ms = settings.lease_term_ms * ORDER_TIMEOUT_LEASE_FRACTION;
  const order_timeout_ms = Math.min(ORDER_TIMEOUT_MAX_MS, term_limit_ms);
  return { order_timeout_ms, order_settle_ms: order_timeout_ms };
}

/** Creates the parts that don't need a lease. */
export function wireBase(settings: FullSettings) {
  const clock = new SystemClock();
  const log = createLog(settings);
  const metrics = new StatsdMetrics(settings.statsd);
  const store = createStore(settings);
  const self = createMember(settings);
  const fleet = new FleetKeeper({ store, clock, log, metrics }, {
    self,
    regions: settings.regions,
    slots_per_region: settings.slots_per_region,
  });
  const { peer_token: token, source_address } = settings;
  const links = new PeerLinks({
    token,
    ...(source_address === undefined ? {} : { source_address }),
    findMember: (id) => fleet.view()?.memberOf(id),
  });
  return { settings, clock, log, metrics, store, self, fleet, links };
}

/** Reads the fleet's members before this instance joins. Waits until the store
 * is reachable. */
async function readMembers(base: BaseParts): Promise<readonly Member[]> {
  for (;;) {
    const members = await base.fleet.readMembers();
    if (members.isOk()) return members.value;
    await base.clock.sleep(STORE_RETRY_MS);
  }
}

/** Starts the lease once the store is reachable. The lease has successors from
 * the start, so that they can take over a member that fails just after it
 * received slots. */
export async function startLease(base: BaseParts): Promise<SessionLease> {
  const members = await readMembers(base);
  const { clock, links, log, metrics, self, settings, store } = base;
  const peers = new TrpcLeasePeers(links);
  const deps = { store, clock, peers, log, metrics };
  const result = await SessionLease.start(deps, {
    id: self.id,
    term_ms: settings.lease_term_ms,
    last_term_ms: settings.lease_last_term_ms,
    successors: chooseSuccessors(self, [...members, self]),
  });
  if (result.isErr()) throw new Error(result.error.message);
  return result.value;
}

function wireConfig(base: BaseParts) {
  const { clock, fleet, links, log, metrics, self, settings, store } = base;
  const peers = new TrpcConfigPeers(links);
  const members = () => fleet.view()?.members ?? [];
  const nearby = () =>
    members().filter((m) => m.id !== self.id && m.region === self.region)
      .map((m) => m.id);
  const times = freshnessTimes(settings.fresh_limit_ms);
  const deps = { store, clock, peers, log, metrics };
  const follower = new ConfigFollower(deps, { nearby_members: nearby, times });
  const guard = new FreshnessGuard({ follower, peers, clock, log, metrics }, {
    self: self.id,
    region: self.region,
    store_region: settings.store_region,
    members,
    times,
  });
  const publisher = new Publisher({ store, clock, follower, log, metrics });
  return { follower, guard, publisher, snapshot: () => follower.current() };
}

function wireRate(base: BaseParts, lease: SessionLease) {
  const { clock, fleet, links, log, metrics, self } = base;
  const shares = new RateShares({ clock, metrics, lease });
  const view = (workspace: string) => {
    const fleet_view = fleet.view();
    if (fleet_view === undefined) return [];
    return fleet_view.shareSlots(workspace).map((slot) => ({
      slot,
      holder: fleet_view.slots[slot]?.holder ?? "",
    }));
  };
  const peers = new TrpcRatePeers(links);
  const deps = { clock, metrics, log, self: self.id, shares, peers, view };
  return { shares, rate_client: new RateClient(deps) };
}

/** Creates a function that returns the session id of a target's owner. */
function createOwnerFinder(base: BaseParts, config: ConfigParts) {
  return (name: string): string | undefined => {
    const view = base.fleet.view();
    const target = config.snapshot()?.get("target", name);
    if (view === undefined || target === undefined) return undefined;
    const slot = view.slotOfTarget(target);
    return slot === undefined ? undefined : view.holder(slot)?.id;
  };
}

function wirePermits(
  base: BaseParts,
  parts: ConfigParts & RateParts & { readonly lease: SessionLease },
) {
  const { clock, links, log, metrics, self, settings } = base;
  const findOwner = createOwnerFinder(base, parts);
  const sender = new TrpcReleaseSender(links, {
    self: self.id,
    findOwner,
    releaseLocal: (releases) => owners.release(self.id, releases),
  });
  const deps = { clock, session: self.id, sender, log, metrics };
  const ledger = new PermitLedger(deps);
  const engine = new OpenAiEngineClient(sourceAddressOptions(settings));
  const report = ledger.report.bind(ledger);
  const owners: OwnerTable = new OwnerTable({
    clock,
    engine,
    lease: parts.lease,
    load_budget: new RateLoadBudget(
      parts.rate_client,
      settings.weight_loads_burst,
    ),
    peers: new TrpcPermitPeers(links, { self: self.id, report }),
    createQueue: createQueueFactory(settings.queue_policy),
    ...orderTimeouts(settings),
    log,
    metrics,
  });
  return { engine, findOwner, ledger, owners };
}

function wireSlots(
  base: BaseParts,
  parts: ConfigParts & RateParts & PermitParts,
) {
  const { clock, fleet, links, log, self, settings } = base;
  const { shares, owners, snapshot } = parts;
  const list = new HttpInstanceList(
    settings.instance_list_url,
    sourceAddressOptions(settings),
  );
  const list_watch = new InstanceListWatch(list, {
    clock,
    interval_ms: settings.list_interval_ms,
    onChange: () => coordinator.reconcile(),
    notifyPeers: (leaving) => notifyPeersOfLeaving(base, leaving),
  });
  const coordinator: SlotCoordinator = new SlotCoordinator({
    clock,
    log,
    settings,
    self: self.id,
    fleet,
    shares,
    owners,
    links,
    list_watch,
    snapshot,
  });
  return { list, list_watch, coordinator };
}

function notifyPeersOfLeaving(
  base: BaseParts,
  leaving: readonly string[],
): void {
  const { fleet, links, metrics, self } = base;
  const peers = (fleet.view()?.members ?? [])
    .filter((member) => member.id !== self.id);
  for (const { id } of peers) {
    links.callMember(
      id,
      (client, limits) => client.p.ll.mutate(leaving, limits),
    )
      .catch(() => metrics.count("leaving_untold"));
  }
}

function wireServing(
  base: BaseParts,
  parts: PermitParts & { readonly lease: SessionLease },
) {
  const { clock, fleet, links, log, metrics, self, settings, store } = base;
  const { findOwner, ledger, owners } = parts;
  const entryCount = () => fleet.view()?.liveMembers().length ?? 1;
  const policy = createTargetPolicy(settings, {
    clock,
    entryCount,
  });
  const permit_deps = {
    self: self.id,
    policy,
    ledger,
    owners,
    links,
    findOwner,
    onOwnerMoving: () => fleet.recheck(),
  };
  const intent_log = new IntentLog({ store, clock, log, metrics });
  const isResponsible = () =>
    fleet.view()?.slots[INTENT_SWEEP_SLOT]?.holder === self.id;
  return {
    permit_client: new PermitClient({ clock, metrics, ...permit_deps }),
    intent_log,
    intent_sweep: createIntentSweep({ clock, intent_log, isResponsible }),
    targets: new TargetClient(settings.source_address),
    in_flight: new InFlightRegistry(),
    pause_watch: new PauseWatch(clock),
    retry_budget: new RetryBudget(),
  };
}

/** Creates the parts that act under the lease and adds them to the base
 * parts. */
export function wireParts(base: BaseParts, lease: SessionLease) {
  const { clock, log, metrics, self, settings, store } = base;
  const watch = new SuccessorWatch({ store, clock, lease, log, metrics }, {
    id: self.id,
    term_ms: settings.lease_term_ms,
    last_term_ms: settings.lease_last_term_ms,
  });
  const config = wireConfig(base);
  const rate = wireRate(base, lease);
  const permits = wirePermits(base, { ...config, ...rate, lease });
  const slots = wireSlots(base, { ...config, ...rate, ...permits });
  const serving = wireServing(base, { ...permits, lease });
  const freshness_watch = createFreshnessWatch({
    clock,
    log,
    metrics,
    guard: config.guard,
    in_flight: serving.in_flight,
  });
  return {
    ...base,
    ...config,
    ...rate,
    ...permits,
    ...slots,
    ...serving,
    freshness_watch,
    lease,
    watch,
  };
}

/** Returns the context for the handlers of callers' requests. `isLost` returns
 * true once another member has ended this session; permits can no longer be
 * acquired then, so the instance reports that it is not ready. */
export function toServeContext(
  parts: InstanceParts,
  isLost: () => boolean,
): ServeContext {
  return {
    ...parts,
    fleet: () => parts.fleet.view(),
    freshness: () =>
      isLost() ? { serve: false, reason: "not_ready" } : parts.guard.state(),
  };
}

/** Closes all parts. Closes each part before the parts on which it depends. */
export async function closeParts(parts: InstanceParts): Promise<void> {
  await Promise.all([
    parts.coordinator.close(),
    parts.freshness_watch.close(),
    parts.pause_watch.close(),
    parts.guard.close(),
    parts.follower.close(),
    parts.list_watch.close(),
    parts.watch.close(),
    parts.rate_client.close(),
    parts.intent_sweep.close(),
    parts.intent_log.close(),
    parts.ledger.close(),
  ]);
  await parts.owners.close();
  await parts.fleet.close();
  await parts.lease.close();
  parts.links.close();
  await Promise.all([
    parts.targets.close(),
    parts.engine.close(),
    parts.list.close(),
    parts.store.close(),
    parts.metrics.close(),
  ]);
}
