/** Loads adapters: by orders to the engines that this instance owns, and by
 * requests to the owners of other engines.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  adapterNameIn,
  adapterOf,
  type AdapterState,
  type EngineClass,
  type EngineControl,
  type EngineReach,
  type EngineTable,
  type EngineView,
  type MemberTable,
  namedAdapters,
  type PlannedOrder,
} from "@banyanlb/serving";
import * as events from "./events.ts";
import { ModelKeeper } from "./model_placement/model_keeper.ts";
import { sendModelOrder } from "./model_placement/send_model_order.ts";
import {
  adapterSlotsBeside,
  OwnedModels,
} from "./model_placement/owned_models.ts";
import type { Membership } from "./membership.ts";
import type { GatewayMetrics } from "./metrics.ts";
import { outcomeOf, OwnedEngine, type Waiter } from "./owned_engine.ts";
import { OwnerWaits } from "./owner_waits.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { AdapterRequest, HeldRow } from "./peer_messages.ts";
import type { StoreView } from "./store_view.ts";

/** Time between reports from an engine whose adapter slots are certain, in
 * milliseconds. The reports only show which unloads, after waiting for running
 * requests, have completed. */
const REPORT_INTERVAL_MS = 1000;

/** Time between reports while an engine's adapter slots are uncertain, in
 * milliseconds: an engine's report is some hundred milliseconds old. */
const RESYNC_INTERVAL_MS = 150;

/** Maximum time that a request waits for its adapter, in milliseconds; its own
 * deadline may be earlier. */
const LOAD_WAIT_MS = 2500;

/** How long after the estimated ready time of its adapter a refused request
 * still counts as early, in milliseconds. After that the refusal shows that the
 * engine no longer holds the adapter. */
const EARLY_MAX_MS = 200;

/** Consecutive calls without a reply after which an engine counts as down. */
const DOWN_THRESHOLD = 2;

/** Pause after a call without a reply, in milliseconds; longer for an engine
 * that counts as down. */
const ORDER_RETRY_PAUSE_MS = 10;
const DOWN_RETRY_PAUSE_MS = 400;

/** Parts of the gateway that the loader uses. */
export interface AdapterLoaderOptions {
  readonly self: string;
  readonly engineTable: EngineTable;
  readonly control: EngineControl;
  readonly storeView: StoreView;
  readonly membership: Membership;
  readonly members: MemberTable;
  readonly links: PeerLinks;
  readonly reach: EngineReach;
  /** Called when an engine's report says for how long it stays cold. */
  readonly onColdTime?: (engineKey: string, leftMs: number) => void;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** Sends load and unload orders, and resolves the requests that wait for
 * loads. */
export class AdapterLoader {
  readonly #options: AdapterLoaderOptions;
  readonly #engines = new Map<string, OwnedEngine>();
  readonly #modelKeeper: ModelKeeper;
  readonly #ownerWaits = new OwnerWaits((key) => this.canOrder(key));
  #otherFetches = 0;
  /** Number of engines that have an owner, this instance or another. */
  #assignedEngineCount = 1;
  /** Versions of engine list, assignment and configuration from which the owned
   * engines were last determined. */
  #appliedState = "";

  constructor(options: AdapterLoaderOptions) {
    this.#options = options;
    this.#modelKeeper = new ModelKeeper({
      ...options,
      classOf: (service) => this.#classOf(service),
      ownedModels: (key) => this.#engines.get(key)?.models,
    });
  }

  /** Asks for a model that a request found on no engine. */
  requestModel(service: string, model: string): void {
    this.#modelKeeper.recordRequest(service, model, performance.now());
  }

  /** Records that another instance has requests for a model that no engine
   * holds. */
  recordWantedModel(service: string, model: string): void {
    this.#modelKeeper.recordWanted(service, model, performance.now());
  }

  /** Whether this instance owns no engine. */
  get isIdle(): boolean {
    return this.#engines.size === 0;
  }

  /** Number of adapters that the engines of this instance are fetching. */
  get fetches(): number {
    const now = performance.now();
    let count = 0;
    for (const { adapterSlots } of this.#engines.values()) {
      count += adapterSlots.fetchCount(now);
    }
    return count;
  }

  /** For each engine of this instance: its key, the number of changes of its
   * adapter slots, and the adapters it holds. */
  held(): readonly (readonly [string, number, readonly HeldRow[]])[] {
    const now = performance.now();
    return [...this.#engines].map(([key, { adapterSlots }]) => [
      key,
      adapterSlots.changes,
      adapterSlots.list().map((slot): HeldRow => [
        slot.adapter,
        slot.version,
        Math.max(0, Math.round(slot.readyAt - now)),
      ]),
    ]);
  }

  /** The engines of this instance that count as down; not while it is this
   * instance that has no path to them. */
  down(): readonly string[] {
    const { engineTable, reach } = this.#options;
    return [...this.#engines].filter(([key, { unansweredCalls }]) =>
      unansweredCalls >= DOWN_THRESHOLD &&
      !reach.isCut(engineTable.get(key)?.engine.service ?? "")
    ).map(([key]) => key);
  }

  /** Records how many adapters the engines of all other instances are
   * fetching. */
  recordOtherFetches(count: number): void {
    this.#otherFetches = count;
  }

  /** Records the use of adapters, by a peer or by this instance itself, on an
   * engine of this instance: requests started and requests running. */
  recordAdapterUse(
    peer: string,
    engineKey: string,
    use: Readonly<Record<string, readonly [number, number]>>,
  ): void {
    const engine = this.#engines.get(engineKey);
    if (engine === undefined) return;
    const now = performance.now();
    const inFlight = new Map<string, number>();
    for (const [adapter, [started, running]] of Object.entries(use)) {
      if (started > 0) {
        engine.adapterSlots.recordUse(adapter, started, running, now);
      }
      if (running > 0) inFlight.set(adapter, running);
    }
    engine.flight.set(peer, inFlight);
    const total = new Map<string, number>();
    for (const [name, counts] of engine.flight) {
      const isAlive = name === this.#options.self ||
        this.#options.members.isAlive(name, now);
      if (!isAlive) continue;
      for (const [adapter, count] of counts) {
        total.set(adapter, (total.get(adapter) ?? 0) + count);
      }
    }
    engine.adapterSlots.setInFlight(total);
  }

  /** Whether a load on an engine can be ordered now: by this instance as its
   * owner, or by another owner that is alive. */
  canOrder(engineKey: string): boolean {
    const owner = this.#options.membership.ownerOf(engineKey);
    if (owner === undefined) return false;
    if (owner !== this.#options.self) {
      const { members } = this.#options;
      const now = performance.now();
      return members.isAlive(owner, now) &&
        members.orderPaths.cutMs(owner, now) === undefined;
    }
    return this.#engines.has(engineKey) &&
      this.#options.membership.mayOrder(engineKey);
  }

  /** Loads an adapter on an engine, directly or through the engine's owner.
   * Resolves to true when the adapter is expected to be loaded, or to false if
   * it will not be loaded in time. */
  load(
    view: EngineView,
    request: AdapterRequest & { readonly model: string },
  ): Promise<boolean> {
    const { membership, self, members, links } = this.#options;
    const engine = view.engine.key;
    const owner = membership.ownerOf(engine);
    if (owner === self) return this.loadAtOwnEngine(engine, request);
    const member = owner === undefined ? undefined : members.get(owner);
    if (member === undefined) return Promise.resolve(false);
    const reply = links.ask(
      member.peerAddress,
      (n) => ({ t: "load", n, engine, ...request }),
      waitMsOf(request),
    ).then((reply) => reply?.t === "loaded" && reply.ok);
    // Nobody waits for it, and the owner sends none.
    if (request.quiet === true) return reply;
    return this.#ownerWaits.reply(engine, reply);
  }

  /** Loads an adapter on an engine of this instance; see `load`. */
  loadAtOwnEngine(
    engineKey: string,
    request: AdapterRequest & { readonly model: string },
  ): Promise<boolean> {
    const engine = this.#engines.get(engineKey);
    const engineClass = this.#classOfEngine(engineKey);
    if (
      engine === undefined || engineClass === undefined ||
      !this.#options.membership.mayOrder(engineKey)
    ) return Promise.resolve(false);
    const hasSeveral = engineClass.models.length > 1;
    const view = this.#options.engineTable.get(engineKey);
    if (hasSeveral && view?.holdsModel(request.model) !== true) {
      return Promise.resolve(false);
    }
    const isPatient = request.patient === true;
    if (engine.unansweredCalls >= DOWN_THRESHOLD && !isPatient) {
      return Promise.resolve(false);
    }
    const now = performance.now();
    const { version } = request;
    const adapter = adapterNameIn(engineClass, request.model, request.adapter);
    const slot = engine.adapterSlots.find(adapter, version);
    if (request.early === true) {
      if (slot === undefined || slot.readyAt <= now - EARLY_MAX_MS) {
        engine.adapterSlots.doubt();
        engine.denied.add(adapter);
      } else engine.adapterSlots.recordEarlyRequest(adapter, now);
    } else if (isHeld(engine, { adapter, version }, now)) {
      return Promise.resolve(true);
    }
    if (slot === undefined && !engine.adapterSlots.canLoadSoon(adapter, now)) {
      return Promise.resolve(false);
    }
    engine.adapterSlots.requestLoad(adapter, version, now);
    engine.adapterSlots.recordUse(adapter, 0, 1, now);
    return new Promise((resolve) => {
      const until = now + waitMsOf(request);
      engine.waiters.add({ adapter, version, until, isPatient, resolve });
      this.#process(engineKey, engine);
    });
  }

  /** Updates the set of owned engines, resolves waiters, and sends orders and
   * report requests that are due. Called periodically and when the assignment
   * changes. */
  tick(): void {
    const { engineTable, storeView, membership, self } = this.#options;
    const routeTable = storeView.routeTable;
    if (routeTable === undefined) return;
    const { version } = routeTable.configuration;
    const state = `${engineTable.generation} ${membership.fence} ${version}`;
    if (state !== this.#appliedState) {
      this.#appliedState = state;
      this.#addOwnedEngines();
    }
    for (const [key, engine] of this.#engines) {
      if (
        engineTable.get(key) === undefined || membership.ownerOf(key) !== self
      ) {
        this.#engines.delete(key);
        for (const waiter of engine.waiters) waiter.resolve(false);
        continue;
      }
      this.#process(key, engine);
    }
  }

  /** Adds the engines that were newly assigned to this instance, and counts the
   * engines that have any owner. */
  #addOwnedEngines(): void {
    const { engineTable, membership, self } = this.#options;
    let count = 0;
    for (const view of engineTable.all()) {
      const key = view.engine.key;
      const owner = membership.ownerOf(key);
      if (owner !== undefined) count += 1;
      if (owner !== self || this.#engines.has(key)) continue;
      const ownedEngine = this.#createEngine(view);
      if (ownedEngine !== undefined) this.#engines.set(key, ownedEngine);
    }
    this.#assignedEngineCount = count;
  }

  #createEngine({ engine }: EngineView): OwnedEngine | undefined {
    const engineClass = this.#classOf(engine.service);
    if (engineClass === undefined) return undefined;
    const models = new OwnedModels(engine.models);
    return new OwnedEngine(
      adapterSlotsBeside(engineClass, models.plannedWith()),
      models,
    );
  }

  /** What engines of a service can hold; undefined if they hold no models. */
  #classOf(service: string): EngineClass | undefined {
    const engineClass = this.#options.storeView.routeTable
      ?.findService(service)?.engineClass;
    return engineClass?.models.length === 0 ? undefined : engineClass;
  }

  #classOfEngine(key: string): EngineClass | undefined {
    const service = this.#options.engineTable.get(key)?.engine.service;
    return service === undefined ? undefined : this.#classOf(service);
  }

  #process(key: string, engine: OwnedEngine): void {
    const view = this.#options.engineTable.get(key);
    if (view === undefined) return;
    const now = performance.now();
    this.#updateView(view, engine);
    this.#resolveWaiters(engine, now);
    const adapterSlots = engine.adapterSlots;
    const intervalMs = adapterSlots.needsReport
      ? RESYNC_INTERVAL_MS
      : REPORT_INTERVAL_MS;
    if (!engine.isReporting && now - engine.reportRequestedAt >= intervalMs) {
      void this.#requestReport(view, engine);
    }
    if (engine.isOrdering || !this.#options.membership.mayOrder(key)) return;
    if (now < engine.nextOrderAt) return;
    if (view.engine.leaving) return;
    const engineClass = this.#classOf(view.engine.service);
    engine.models.applyEntry(view.engine.models);
    if (engineClass === undefined || engine.models.isChanging) return;
    const modelOrder = this.#modelKeeper.orderFor(view, now);
    if (modelOrder !== undefined) {
      void sendModelOrder(this.#options, { view, engine }, modelOrder);
      return;
    }
    if (!engineClass.models.some(({ name }) => view.holdsModel(name))) return;
    adapterSlots.setStoreBusy(this.#fetchSlowdown() > 1);
    const order = adapterSlots.next(now, (name) => {
      const target = adapterOf(engineClass, name);
      if (target === undefined) return 0;
      return this.#options.storeView.versionOf(target.model, target.adapter);
    });
    if (order !== undefined) void this.#sendOrder(view, engine, order);
  }

  #resolveWaiters(engine: OwnedEngine, now: number): void {
    for (const waiter of engine.waiters) {
      const isLoaded = isHeld(engine, waiter, now);
      if (!isLoaded && now < waiter.until) continue;
      release(engine, waiter, isLoaded);
    }
    let nextReadyAt = Infinity;
    for (const waiter of engine.waiters) {
      const slot = engine.adapterSlots.find(waiter.adapter, waiter.version);
      if (engine.denied.has(waiter.adapter)) continue;
      nextReadyAt = Math.min(nextReadyAt, slot?.readyAt ?? Infinity);
    }
    if (nextReadyAt < Infinity) {
      setTimeout(
        () => this.#resolveWaiters(engine, performance.now()),
        Math.max(1, nextReadyAt - now),
      );
    }
  }

  /** Ratio of the fleet's concurrent fetches to the number that run at full
   * speed: the deployments' weight stores serve about one for each engine with
   * models. */
  #fetchSlowdown(): number {
    const fetches = this.fetches + this.#otherFetches;
    return (fetches + 1) / Math.max(1, this.#assignedEngineCount);
  }

  async #sendOrder(
    view: EngineView,
    engine: OwnedEngine,
    order: PlannedOrder,
  ): Promise<void> {
    const { control, membership, self, log, metrics } = this.#options;
    const engineClass = this.#classOf(view.engine.service);
    const target = engineClass && adapterOf(engineClass, order.adapter);
    const sentAt = performance.now();
    if (target === undefined) {
      // The configuration in force has no such model any more.
      engine.adapterSlots.cancelLoad(order.adapter);
      engine.adapterSlots.recordOutcome("unknown", sentAt, 1);
      engine.adapterSlots.doubt();
      return;
    }
    engine.isOrdering = true;
    const reply = await control.order(view.engine, {
      action: order.action,
      model: target.model,
      adapter: target.adapter,
      version: order.action === "load" && order.version > 0
        ? order.version
        : undefined,
      orderCount: order.orderCount,
      holder: self,
      fence: membership.fence,
    }, engine.orderTimeoutMs);
    engine.isOrdering = false;
    const outcome = outcomeOf(order.action, reply);
    const now = performance.now();
    this.#recordReply(view, engine, reply !== "unknown");
    engine.recordOrderTime(now - sentAt, reply !== "unknown");
    engine.adapterSlots.recordOutcome(
      outcome,
      now,
      Math.max(1, this.#fetchSlowdown()),
    );
    metrics.add(
      "orders_total",
      `action="${order.action}",outcome="${outcome}"`,
    );
    const hasFailed = outcome === "refused" || outcome === "unknown";
    log.write(hasFailed ? events.ORDER_FAILED : events.ORDER_ANSWERED, {
      engine: view.engine.key,
      action: order.action,
      adapter: order.adapter,
      version: order.version,
      count: order.orderCount,
      fence: membership.fence,
      answer: reply,
      waitedMs: order.requestedAt === undefined
        ? undefined
        : Math.round(sentAt - order.requestedAt),
      readyInMs: Math.round(
        (engine.adapterSlots.find(order.adapter, 0)?.readyAt ?? now) - now,
      ),
      queue: engine.adapterSlots.pendingLoadCount,
      fetches: this.fetches,
      ms: Math.round(now - sentAt),
    });
    this.#process(view.engine.key, engine);
  }

  async #requestReport(view: EngineView, engine: OwnedEngine): Promise<void> {
    engine.isReporting = true;
    engine.reportRequestedAt = performance.now();
    const report = await this.#options.control.report(view.engine);
    engine.isReporting = false;
    const now = performance.now();
    this.#options.metrics.add(
      "reports_total",
      `answered="${report !== undefined}"`,
    );
    const { key, service } = view.engine;
    const isAnswered = report !== undefined;
    this.#options.reach.recordCall(key, service, { isAnswered, now });
    this.#recordReply(view, engine, isAnswered);
    if (report === undefined) return;
    if (report.coldMs !== undefined) {
      this.#options.onColdTime?.(view.engine.key, report.coldMs);
    }
    const engineClass = this.#classOf(service);
    if (engineClass === undefined) return;
    const wasChanging = engine.models.isChanging;
    engine.models.applyReport(report);
    const hasChanged = wasChanging && !engine.models.isChanging;
    // The list shows it later.
    if (
      hasChanged || report.models.some(({ name }) => !view.holdsModel(name))
    ) {
      view.engine = { ...view.engine, models: report.models };
    }
    const planned = engine.models.plannedWith(view.engine.models);
    engine.adapterSlots.setSlotCount(adapterSlotsBeside(engineClass, planned));
    engine.adapterSlots.applyReport({
      orderCount: report.orderCount,
      ...namedAdapters(report, engineClass),
    }, now);
    if (engine.denied.size > 0) {
      engine.denied.clear();
      for (const { adapter, version } of engine.waiters) {
        engine.adapterSlots.requestLoad(adapter, version, now);
      }
    }
    this.#process(view.engine.key, engine);
  }

  /** Records whether an engine replied to a call. An engine that does not reply
   * counts as down until it replies again; its waiters are released at once so
   * that their requests go to other engines. Those that have no other one wait
   * on. */
  #recordReply(view: EngineView, engine: OwnedEngine, hasReplied: boolean) {
    if (hasReplied) {
      engine.unansweredCalls = 0;
      view.down = false;
      return;
    }
    engine.unansweredCalls += 1;
    const isDown = engine.unansweredCalls >= DOWN_THRESHOLD;
    view.down = isDown;
    engine.nextOrderAt = performance.now() +
      (isDown ? DOWN_RETRY_PAUSE_MS : ORDER_RETRY_PAUSE_MS);
    if (!isDown) return;
    for (const waiter of engine.waiters) {
      if (!waiter.isPatient) release(engine, waiter, false);
    }
  }

  #updateView(view: EngineView, engine: OwnedEngine): void {
    view.isReportedByOwner = true;
    view.adapters = new Map(
      engine.adapterSlots.list().map((slot): [string, AdapterState] => [
        slot.adapter,
        { version: slot.version, readyAt: slot.readyAt },
      ]),
    );
  }
}

/** Whether an engine holds an adapter and has not denied it since its last
 * report. */
function isHeld(
  engine: OwnedEngine,
  { adapter, version }: { readonly adapter: string; readonly version: number },
  now: number,
): boolean {
  const slot = engine.adapterSlots.find(adapter, version);
  return slot !== undefined && slot.readyAt <= now &&
    !engine.denied.has(adapter);
}

/** How long a request waits for its adapter, in milliseconds. */
function waitMsOf({ waitMs = LOAD_WAIT_MS }: AdapterRequest): number {
  return Math.min(LOAD_WAIT_MS, Math.max(0, waitMs));
}

/** Ends a wait. A load that has failed is cancelled unless another request waits
 * for it. */
function release(engine: OwnedEngine, waiter: Waiter, isLoaded: boolean): void {
  const { waiters, adapterSlots } = engine;
  const { adapter } = waiter;
  waiters.delete(waiter);
  if (!isLoaded && ![...waiters].some((other) => other.adapter === adapter)) {
    adapterSlots.cancelLoad(adapter);
  }
  waiter.resolve(isLoaded);
}
