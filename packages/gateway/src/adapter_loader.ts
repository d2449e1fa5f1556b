/** Has adapters loaded: orders at the engines of this instance, asks the
 * owners of the others.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  type AdapterState,
  type EngineControl,
  type EngineTable,
  type EngineView,
  type MemberTable,
  type PlannedOrder,
  type RouteTable,
} from "@banyanlb/serving";
import * as events from "./events.ts";
import type { Knowledge } from "./knowledge.ts";
import type { Membership } from "./membership.ts";
import type { GatewayMetrics } from "./metrics.ts";
import type { HeldRow } from "./peer_messages.ts";
import {
  ORDER_TIMEOUT_MAX_MS,
  OrderedEngine,
  outcomeOf,
} from "./ordered_engine.ts";
import type { PeerLinks } from "./peer_links.ts";

/** Time between reports of an engine whose table is in order, in milliseconds;
 * they only find what waited for running requests. */
const REPORT_MS = 1000;

/** Time between reports while the table is in doubt: an engine's report is some
 * hundred milliseconds old. */
const RESYNC_MS = 150;

/** A request waits this long at most for its adapter, in milliseconds. */
const LOAD_WAIT_MS = 2500;

/** A request that is refused this long after its adapter should have been there
 * did not come too early: the adapter is gone, in milliseconds. */
const LATEST_MS = 200;

/** Calls in a row without answer after which an engine counts as down. */
const DOWN_AFTER = 2;

/** Pause after an order without answer, in milliseconds; longer for an engine
 * that counts as down. */
const ORDER_PAUSE_MS = 10;
const DOWN_PAUSE_MS = 400;

/** What the loader needs. */
export interface LoaderOptions {
  readonly self: string;
  readonly board: EngineTable;
  readonly control: EngineControl;
  readonly knowledge: Knowledge;
  readonly membership: Membership;
  readonly members: MemberTable;
  readonly links: PeerLinks;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** Orders, and waits for loads. */
export class AdapterLoader {
  readonly #options: LoaderOptions;
  readonly #engines = new Map<string, OrderedEngine>();
  readonly #peerFetches = new Map<string, number>();
  /** Engines at which somebody orders. */
  #engineCount = 1;
  /** State of list and assignment in which engines were taken up. */
  #tookUpIn = "";

  constructor(options: LoaderOptions) {
    this.#options = options;
  }

  /** Whether this instance orders at no engine. */
  get isIdle(): boolean {
    return this.#engines.size === 0;
  }

  /** Fetches under way at the engines of this instance. */
  get fetches(): number {
    const now = performance.now();
    let count = 0;
    for (const { places } of this.#engines.values()) {
      count += places.fetchCount(now);
    }
    return count;
  }

  /** What the engines of this instance hold, by engine; with their counts of
   * changes. */
  held(): readonly (readonly [string, number, readonly HeldRow[]])[] {
    const now = performance.now();
    return [...this.#engines].map(([key, { places }]) => [
      key,
      places.changes,
      places.list().map((p): HeldRow => [
        p.adapter,
        p.version,
        Math.max(0, Math.round(p.readyAt - now)),
      ]),
    ]);
  }

  /** The engines of this instance that give no answer. */
  down(): readonly string[] {
    return [...this.#engines].filter(([, e]) => e.unanswered >= DOWN_AFTER)
      .map(([key]) => key);
  }

  /** A peer tells how many fetches it has under way. */
  learnFetches(peer: string, count: number): void {
    this.#peerFetches.set(peer, count);
  }

  /** An instance tells what it uses at an engine of this one. */
  learnUse(
    peer: string,
    engineKey: string,
    use: Readonly<Record<string, readonly [number, number]>>,
  ): void {
    const engine = this.#engines.get(engineKey);
    if (engine === undefined) return;
    const now = performance.now();
    const flight = new Map<string, number>();
    for (const [adapter, [started, running]] of Object.entries(use)) {
      if (started > 0) {
        engine.places.recordUse(adapter, started, running, now);
      }
      if (running > 0) flight.set(adapter, running);
    }
    engine.flight.set(peer, flight);
    const total = new Map<string, number>();
    for (const [name, counts] of engine.flight) {
      const alive = name === this.#options.self ||
        this.#options.members.isAlive(name, now);
      if (!alive) continue;
      for (const [adapter, count] of counts) {
        total.set(adapter, (total.get(adapter) ?? 0) + count);
      }
    }
    engine.places.setInFlight(total);
  }

  /** Whether loads can be had at an engine. */
  canOrder(engineKey: string): boolean {
    const owner = this.#options.membership.ownerOf(engineKey);
    if (owner === undefined) return false;
    if (owner !== this.#options.self) {
      return this.#options.members.isAlive(owner, performance.now());
    }
    return this.#engines.has(engineKey) &&
      this.#options.membership.mayOrder(engineKey);
  }

  /** Resolves when the adapter should be there; false if it will not be. */
  load(
    view: EngineView,
    want: {
      readonly model: string;
      readonly adapter: string;
      readonly version: number;
      readonly early?: boolean;
      readonly quiet?: boolean;
    },
  ): Promise<boolean> {
    const { membership, self, members, links } = this.#options;
    const engine = view.engine.key;
    const owner = membership.ownerOf(engine);
    if (owner === self) return this.loadHere(engine, want);
    const member = owner === undefined ? undefined : members.get(owner);
    if (member === undefined) return Promise.resolve(false);
    return links.ask(
      member.peerAddress,
      (n) => ({ t: "load", n, engine, ...want }),
      LOAD_WAIT_MS,
    ).then((reply) => reply?.t === "loaded" && reply.ok);
  }

  /** The same at an engine of this instance. */
  loadHere(
    engineKey: string,
    want: {
      readonly adapter: string;
      readonly version: number;
      readonly early?: boolean;
      readonly quiet?: boolean;
    },
  ): Promise<boolean> {
    const engine = this.#engines.get(engineKey);
    if (
      engine === undefined || !this.#options.membership.mayOrder(engineKey)
    ) return Promise.resolve(false);
    if (engine.unanswered >= DOWN_AFTER) return Promise.resolve(false);
    const now = performance.now();
    const { adapter, version } = want;
    const place = engine.places.find(adapter, version);
    if (want.early === true) {
      if (place === undefined || place.readyAt <= now - LATEST_MS) {
        engine.places.doubt();
      } else engine.places.recordEarlyRequest(adapter, now);
    } else if (place !== undefined && place.readyAt <= now) {
      return Promise.resolve(true);
    }
    if (place === undefined && !engine.places.canLoadSoon(adapter, now)) {
      return Promise.resolve(false);
    }
    engine.places.requestLoad(adapter, version, now);
    engine.places.recordUse(adapter, 0, 1, now);
    return new Promise((resolve) => {
      const until = now + LOAD_WAIT_MS;
      engine.waiters.add({ adapter, version, until, resolve });
      this.#step(engineKey, engine);
    });
  }

  /** Takes up and gives up engines, answers waiters, sends what is due. Called
   * a few times a second and when something changes. */
  tick(): void {
    const { board, knowledge, membership, self } = this.#options;
    const table = knowledge.table;
    if (table === undefined) return;
    const { version } = table.configuration;
    const state = `${board.generation} ${membership.fence} ${version}`;
    if (state !== this.#tookUpIn) {
      this.#tookUpIn = state;
      this.#takeUp(table);
    }
    for (const [key, engine] of this.#engines) {
      if (
        board.get(key) === undefined || membership.ownerOf(key) !== self
      ) {
        this.#engines.delete(key);
        for (const waiter of engine.waiters) waiter.resolve(false);
        continue;
      }
      this.#step(key, engine);
    }
  }

  /** Finds engines that this instance orders at since the last change. */
  #takeUp(table: RouteTable): void {
    const { board, membership, self } = this.#options;
    let count = 0;
    for (const view of board.all()) {
      const key = view.engine.key;
      const owner = membership.ownerOf(key);
      if (owner !== undefined) count += 1;
      if (owner !== self || this.#engines.has(key)) continue;
      const created = this.#create(view, table);
      if (created !== undefined) this.#engines.set(key, created);
    }
    this.#engineCount = count;
  }

  #create(view: EngineView, table: RouteTable): OrderedEngine | undefined {
    const engineClass = table.findService(view.engine.service)?.engineClass;
    const model = engineClass?.models[0];
    if (engineClass === undefined || model === undefined) return undefined;
    const room = model.adapterSizeMb > 0
      ? Math.floor(
        (engineClass.weightMemoryMb - model.sizeMb) / model.adapterSizeMb,
      )
      : engineClass.adapterSlots;
    return new OrderedEngine(
      Math.max(0, Math.min(engineClass.adapterSlots, room)),
      model.name,
    );
  }

  #step(key: string, engine: OrderedEngine): void {
    const view = this.#options.board.get(key);
    if (view === undefined) return;
    const now = performance.now();
    this.#publish(view, engine);
    this.#answerWaiters(engine, now);
    const places = engine.places;
    const due = places.needsReport ? RESYNC_MS : REPORT_MS;
    if (!engine.reporting && now - engine.reportAt >= due) {
      void this.#report(view, engine);
    }
    if (engine.ordering || !this.#options.membership.mayOrder(key)) return;
    if (now < engine.orderAfter) return;
    if (view.engine.leaving) return;
    if (!view.holdsModel(engine.model)) {
      void this.#orderModel(view, engine);
      return;
    }
    places.setStoreBusy(this.#slowdown() > 1);
    const order = places.next(
      now,
      (adapter) => this.#options.knowledge.versionOf(engine.model, adapter),
    );
    if (order !== undefined) void this.#order(view, engine, order);
  }

  #answerWaiters(engine: OrderedEngine, now: number): void {
    for (const waiter of engine.waiters) {
      const place = engine.places.find(waiter.adapter, waiter.version);
      const there = place !== undefined && place.readyAt <= now;
      if (!there && now < waiter.until) continue;
      engine.waiters.delete(waiter);
      if (!there) engine.places.cancelLoad(waiter.adapter);
      waiter.resolve(there);
    }
    let next = Infinity;
    for (const waiter of engine.waiters) {
      const place = engine.places.find(waiter.adapter, waiter.version);
      next = Math.min(next, place?.readyAt ?? Infinity);
    }
    if (next < Infinity) {
      setTimeout(
        () => this.#answerWaiters(engine, performance.now()),
        Math.max(1, next - now),
      );
    }
  }

  /** The fleet's fetches against what it fetches at full speed: the weight
   * stores of the deployments serve about one for each engine with models. */
  #slowdown(): number {
    let fetches = this.fetches;
    for (const count of this.#peerFetches.values()) fetches += count;
    return (fetches + 1) / Math.max(1, this.#engineCount);
  }

  async #order(
    view: EngineView,
    engine: OrderedEngine,
    order: PlannedOrder,
  ): Promise<void> {
    const { control, membership, self, log, metrics } = this.#options;
    engine.ordering = true;
    const sentAt = performance.now();
    const answer = await control.order(view.engine, {
      action: order.action,
      model: engine.model,
      adapter: order.adapter,
      version: order.action === "load" && order.version > 0
        ? order.version
        : undefined,
      orderCount: order.orderCount,
      holder: self,
      fence: membership.fence,
    }, engine.orderTimeoutMs);
    engine.ordering = false;
    const outcome = outcomeOf(order.action, answer);
    const now = performance.now();
    this.#noteAnswer(view, engine, answer !== "unknown");
    engine.noteOrderTime(now - sentAt, answer !== "unknown");
    engine.places.recordOutcome(outcome, now, Math.max(1, this.#slowdown()));
    metrics.add(
      "orders_total",
      `action="${order.action}",outcome="${outcome}"`,
    );
    const failed = outcome === "refused" || outcome === "unknown";
    log.write(failed ? events.ORDER_FAILED : events.ORDER_ANSWERED, {
      engine: view.engine.key,
      action: order.action,
      adapter: order.adapter,
      version: order.version,
      count: order.orderCount,
      fence: membership.fence,
      answer,
      waitedMs: order.requestedAt === undefined
        ? undefined
        : Math.round(sentAt - order.requestedAt),
      readyInMs: Math.round(
        (engine.places.find(order.adapter, 0)?.readyAt ?? now) - now,
      ),
      queue: engine.places.pendingLoadCount,
      fetches: this.fetches,
      ms: Math.round(now - sentAt),
    });
    this.#step(view.engine.key, engine);
  }

  async #orderModel(view: EngineView, engine: OrderedEngine): Promise<void> {
    if (engine.modelOrdered || engine.modelCount === undefined) return;
    const { control, membership, self, log } = this.#options;
    engine.ordering = true;
    engine.modelOrdered = true;
    const answer = await control.order(view.engine, {
      action: "load",
      model: engine.model,
      adapter: undefined,
      version: undefined,
      orderCount: engine.modelCount,
      holder: self,
      fence: membership.fence,
    }, ORDER_TIMEOUT_MAX_MS);
    engine.ordering = false;
    engine.modelOrdered = answer === "accepted" || answer === "complete";
    engine.modelCount = undefined;
    log.write(
      engine.modelOrdered ? events.ORDER_ANSWERED : events.ORDER_FAILED,
      {
        engine: view.engine.key,
        action: "load",
        model: engine.model,
        fence: membership.fence,
        answer,
      },
    );
  }

  async #report(view: EngineView, engine: OrderedEngine): Promise<void> {
    engine.reporting = true;
    engine.reportAt = performance.now();
    const report = await this.#options.control.report(view.engine);
    engine.reporting = false;
    const now = performance.now();
    this.#options.metrics.add(
      "reports_total",
      `answered="${report !== undefined}"`,
    );
    this.#noteAnswer(view, engine, report !== undefined);
    if (report === undefined) return;
    const holdsModel = report.models.some((m) => m.name === engine.model);
    if (!holdsModel) engine.modelCount = report.orderCount;
    if (holdsModel && !view.holdsModel(engine.model)) {
      view.engine = { ...view.engine, models: report.models };
    }
    engine.places.applyReport(report, engine.model, now);
    this.#step(view.engine.key, engine);
  }

  /** An engine without answers is down until it answers again: who waits for
   * loads there is sent elsewhere at once. */
  #noteAnswer(view: EngineView, engine: OrderedEngine, answered: boolean) {
    if (answered) {
      engine.unanswered = 0;
      view.down = false;
      return;
    }
    engine.unanswered += 1;
    const down = engine.unanswered >= DOWN_AFTER;
    view.down = down;
    engine.orderAfter = performance.now() +
      (down ? DOWN_PAUSE_MS : ORDER_PAUSE_MS);
    if (!down) return;
    for (const waiter of engine.waiters) {
      engine.places.cancelLoad(waiter.adapter);
      waiter.resolve(false);
    }
    engine.waiters.clear();
  }

  #publish(view: EngineView, engine: OrderedEngine): void {
    view.isReportedByOwner = true;
    view.adapters = new Map(
      engine.places.list().map((p): [string, AdapterState] => [
        p.adapter,
        { version: p.version, readyAt: p.readyAt },
      ]),
    );
  }
}
