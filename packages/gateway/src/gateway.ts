/** Wires the parts of the gateway.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { EventLog } from "@banyanlb/core";
import {
  EngineChooser,
  EngineTable,
  type Member,
  MemberTable,
  RetryBudget,
  type Route,
  type SelectionContext,
  Steering,
  SystemClocks,
  TokenRate,
  type Workspace,
} from "@banyanlb/serving";
import {
  EngineControlClient,
  type InstanceSettings,
  ObjectStoreClient,
  PlatformCallerProtocol,
} from "@banyanlb/platform";
import { AdapterLoader } from "./adapter_loader.ts";
import { CallerServer } from "./caller_server.ts";
import { DIGEST_MS, Digests } from "./digests.ts";
import { EngineConnections } from "./engine_connections.ts";
import * as events from "./events.ts";
import { Knowledge } from "./knowledge.ts";
import { Membership } from "./membership.ts";
import { OwnLoad } from "./own_load.ts";
import { GatewayMetrics } from "./metrics.ts";
import type { PeerMessage } from "./peer_messages.ts";
import { PeerLinks, type Respond } from "./peer_links.ts";
import { sendErrorResponse } from "./error_response.ts";
import { Relay } from "./relay.ts";
import { AdapterUsageCounts } from "./adapter_usage.ts";

/** Time between checks of what has changed with time, in milliseconds. */
const TICK_MS = 200;

/** Time between steps of the loader, in milliseconds; longer where it orders
 * nowhere, since each wake-up of many idle instances costs. */
const LOADER_TICK_MS = 50;
const LOADER_IDLE_MS = 250;

/** How long callers keep the addresses, in seconds: short against the time in
 * which a lost instance would be missed. */
const STEERING_KEEP_SECONDS = 1;

/** A stopping process takes streams for this long only: the longest ones last
 * seconds, and would be cut at the end of the grace period. */
const LEAVE_STREAMS_MS = 2500;

/** A stopping process ends no sooner than this: callers that keep addresses
 * still connect. */
const LEAVE_MIN_MS = 3000;

/** It ends once no request has come for this long. */
const LEAVE_IDLE_MS = 400;

/** It ends this long before it would be killed. */
const KILL_MARGIN_MS = 250;

/** Instances of a region that read the store for all: one may be cut off from
 * the store, and is not known to be so for seconds. */
const READERS_PER_REGION = 2;

/** Longest header block that callers may send; the configuration's limit is
 * not known before the listener opens. */
const HEADER_MAX_BYTES = 64 * 1024;

/** A running gateway. */
export class Gateway {
  readonly #settings: InstanceSettings;
  readonly #log: EventLog;
  readonly #self: Member;
  readonly #board = new EngineTable();
  readonly #clocks = new SystemClocks();
  readonly #metrics = new GatewayMetrics();
  readonly #protocol = new PlatformCallerProtocol();
  readonly #store: ObjectStoreClient;
  readonly #control = new EngineControlClient();
  readonly #connections = new EngineConnections();
  readonly #members: MemberTable;
  readonly #knowledge: Knowledge;
  readonly #membership: Membership;
  readonly #links: PeerLinks;
  readonly #loader: AdapterLoader;
  readonly #digests: Digests;
  readonly #load = new OwnLoad();
  readonly #steer = new Steering();
  readonly #rates = new Map<string, TokenRate>();
  readonly #allowances = new Map<string, RetryBudget>();
  readonly #callers: CallerServer;
  readonly #readiness: CallerServer;
  readonly #steering: CallerServer;
  readonly #metricsPage: CallerServer;
  readonly #timers: NodeJS.Timeout[] = [];
  #loaderTimer: NodeJS.Timeout | undefined;
  /** Whether this instance reads the store for others. */
  #reads = true;
  #leaving = false;
  #leavingSince = Infinity;

  constructor(
    settings: InstanceSettings,
    options: {
      readonly log: EventLog;
      /** Log lines left out so far. */
      readonly droppedLines: () => number;
    },
  ) {
    const { log } = options;
    this.#settings = settings;
    this.#log = log;
    const addressText = (a: { host: string; port: number }) =>
      `${a.host}:${a.port}`;
    this.#self = {
      name: settings.name,
      zone: settings.zone,
      region: settings.region,
      peerAddress: addressText(settings.peers),
      callerAddress: addressText(settings.callers),
      incarnation: randomUUID().slice(0, 8),
      cores: settings.cores,
    };
    this.#store = new ObjectStoreClient(settings.store);
    this.#members = new MemberTable(settings.name, performance.now());
    this.#knowledge = new Knowledge(this.#store, {
      board: this.#board,
      log,
      readsForOthers: () => this.#reads,
    });
    this.#membership = new Membership(this.#store, {
      self: this.#self,
      members: this.#members,
      board: this.#board,
      clocks: this.#clocks,
      log,
      orderGapMs: settings.bounds.orderGapMs,
      readsForOthers: () => this.#reads,
      onAssigned: () => {
        this.#loader.tick();
        this.#pushNews();
      },
      onStoreLost: () => {
        this.#knowledge.redial();
        this.#membership.redial();
      },
      takesOrders: (service) =>
        this.#knowledge.table?.findService(service)?.engineClass !== undefined,
    });
    this.#links = new PeerLinks(this.#self, {
      onMessage: (from, message, respond) =>
        this.#onPeer(from, message, respond),
      onBroken: (reason) => log.write(events.PEER_MESSAGE_INVALID, { reason }),
    });
    this.#loader = new AdapterLoader({
      self: settings.name,
      board: this.#board,
      control: this.#control,
      knowledge: this.#knowledge,
      membership: this.#membership,
      members: this.#members,
      links: this.#links,
      log,
      metrics: this.#metrics,
    });
    const use = new AdapterUsageCounts();
    this.#digests = new Digests({
      self: this.#self,
      members: this.#members,
      membership: this.#membership,
      board: this.#board,
      loader: this.#loader,
      knowledge: this.#knowledge,
      rates: this.#rates,
      use,
      links: () => this.#links,
      state: () => ({
        ready: this.#ready,
        leaving: this.#leaving,
        serves: this.#load.serves,
        busy: this.#load.busy,
      }),
      log,
    });
    const relay = new Relay({
      protocol: this.#protocol,
      table: () => this.#knowledge.table,
      chooser: new EngineChooser(this.#board),
      loader: this.#loader,
      connections: this.#connections,
      members: this.#members,
      rateOf: (workspace) => this.#rateOf(workspace),
      allowanceOf: (service) => this.#allowanceOf(service),
      versionOf: (model, adapter) => this.#knowledge.versionOf(model, adapter),
      isOlderAllowed: (model, adapter) =>
        this.#knowledge.isOlderAllowed(model, adapter),
      selectionContextAt: (now) => this.#around(now),
      use,
      hasTimeFor: (route) => this.#hasTimeFor(route),
      log,
      metrics: this.#metrics,
    });
    const server = (handle: (q: IncomingMessage, s: ServerResponse) => void) =>
      new CallerServer(handle, { maxHeaderBytes: HEADER_MAX_BYTES });
    this.#callers = server((req, res) => {
      this.#load.countRequest(performance.now());
      relay.serve(req, res).catch((err: unknown) => {
        log.write(events.UNEXPECTED_ERROR, { error: String(err) });
        res.destroy();
      });
    });
    this.#readiness = server((req, res) => this.#answerReadiness(req, res));
    this.#steering = server((req, res) => this.#answerSteering(req, res));
    this.#metricsPage = server((_, res) => {
      this.#metrics.set("log_lines_dropped", options.droppedLines());
      res.end(this.#metrics.render());
    });
    this.#knowledge.onChange = () => this.#onKnowledge();
    this.#knowledge.onNews = () => this.#pushNews();
  }

  /** Opens the listeners and starts to follow the store. */
  async start(): Promise<void> {
    this.#knowledge.start();
    this.#membership.start();
    await Promise.all([
      this.#links.listen(this.#settings.peers),
      this.#callers.listen(this.#settings.callers),
      this.#readiness.listen(this.#settings.readiness),
      this.#steering.listen(this.#settings.steering),
      this.#metricsPage.listen(this.#settings.metrics),
    ]);
    for (const seed of this.#settings.seeds) {
      if (seed === this.#self.peerAddress) continue;
      // The first message introduces this instance; the peer's digests follow.
      this.#links.send(seed, { t: "hello", member: this.#self });
    }
    this.#timers.push(
      setInterval(() => this.#digests.send(), DIGEST_MS),
      setInterval(() => this.#tick(), TICK_MS),
    );
    this.#runLoader();
    this.#log.write(events.STARTED, {
      name: this.#self.name,
      zone: this.#self.zone,
      callers: this.#self.callerAddress,
      peers: this.#self.peerAddress,
      incarnation: this.#self.incarnation,
    });
  }

  /** Takes no new callers, serves those that come all the same, and resolves
   * when the process may end. */
  async stop(): Promise<void> {
    if (this.#leaving) return;
    this.#leaving = true;
    const since = performance.now();
    this.#leavingSince = since;
    this.#log.write(events.STOPPING, { active: this.#callers.active });
    this.#callers.startDraining();
    this.#digests.send(true);
    const endsAt = since + this.#settings.bounds.graceMs - KILL_MARGIN_MS;
    while (performance.now() < endsAt) {
      const waited = performance.now() - since;
      if (
        waited > LEAVE_MIN_MS && this.#callers.active === 0 &&
        this.#callers.idleMs() > LEAVE_IDLE_MS
      ) break;
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    this.#log.write(events.STOPPED, {
      active: this.#callers.active,
      ms: Math.round(performance.now() - since),
    });
    this.close();
  }

  /** Ends everything at once. */
  close(): void {
    for (const timer of this.#timers) clearInterval(timer);
    clearTimeout(this.#loaderTimer);
    this.#knowledge.close();
    this.#membership.close();
    this.#links.close();
    this.#connections.close();
    this.#control.close();
    this.#store.close();
    for (
      const listener of [
        this.#callers,
        this.#readiness,
        this.#steering,
        this.#metricsPage,
      ]
    ) listener.close();
  }

  get #ready(): boolean {
    return this.#knowledge.ready && !this.#leaving;
  }

  /** Those that read for others tell them at once what has changed. */
  #pushNews(): void {
    if (this.#reads) this.#digests.pushNews();
  }

  #hasTimeFor(route: Route): boolean {
    if (!this.#leaving) return true;
    const passed = performance.now() - this.#leavingSince;
    if (route.kind === "stream") return passed < LEAVE_STREAMS_MS;
    const left = this.#settings.bounds.graceMs - KILL_MARGIN_MS - passed;
    return left > route.timeoutMs;
  }

  /** Decides whether this is one of its region's instances that read the store
   * for all: strong ones, since many ask them. */
  #chooseReaders(now: number): void {
    const before = this.#members.membersReachingStore(now).filter((m) =>
      m.region === this.#self.region && isBefore(m, this.#self)
    );
    const reads = before.length < READERS_PER_REGION;
    if (reads && !this.#reads) {
      this.#knowledge.wake();
      this.#membership.read();
    }
    this.#reads = reads;
  }

  #runLoader(): void {
    this.#loader.tick();
    this.#loaderTimer = setTimeout(
      () => this.#runLoader(),
      this.#loader.isIdle ? LOADER_IDLE_MS : LOADER_TICK_MS,
    );
  }

  #tick(): void {
    const now = performance.now();
    this.#load.tick(now);
    this.#chooseReaders(now);
    this.#knowledge.expireLapsed(now);
  }

  #onKnowledge(): void {
    const table = this.#knowledge.table;
    if (table === undefined) return;
    this.#callers.setLimits(table.configuration.limits);
    this.#membership.wake();
    const keys = new Set([...this.#board.all()].map((v) => v.engine.key));
    for (const key of this.#connections.engineKeys()) {
      if (!keys.has(key)) this.#connections.retire(key);
    }
    for (const workspace of table.configuration.workspaces) {
      // All of them, also before their first request: peers tell their use.
      this.#rateOf(workspace)?.setLimit({
        perSecond: workspace.ratePerSecond,
        burst: workspace.burst,
      });
    }
  }

  #rateOf(workspace: Workspace): TokenRate | undefined {
    if (workspace.ratePerSecond <= 0) return undefined;
    let rate = this.#rates.get(workspace.name);
    if (rate === undefined) {
      const limit = {
        perSecond: workspace.ratePerSecond,
        burst: workspace.burst,
      };
      rate = new TokenRate(limit, {
        now: performance.now(),
        windowMs: this.#settings.bounds.rateWindowMs,
      });
      this.#rates.set(workspace.name, rate);
    }
    return rate;
  }

  #allowanceOf(service: string): RetryBudget {
    let allowance = this.#allowances.get(service);
    if (allowance === undefined) {
      const { retryRatio, retryWindowMs, retryFixed } = this.#settings.bounds;
      allowance = new RetryBudget({
        ratio: retryRatio,
        windowMs: retryWindowMs,
        fixedRetries: retryFixed,
      });
      this.#allowances.set(service, allowance);
    }
    return allowance;
  }

  #around(now: number): SelectionContext {
    return {
      zone: this.#settings.zone,
      regionOf: (zone) => this.#settings.regions.get(zone),
      canOrder: (key) => this.#loader.canOrder(key),
      now,
    };
  }

  #onPeer(from: string, message: PeerMessage, respond: Respond): void {
    switch (message.t) {
      case "hello":
        this.#members.add(message.member);
        return;
      case "digest":
        this.#digests.take(from, message);
        return;
      case "load":
        void this.#loader.loadHere(message.engine, message).then((ok) => {
          if (message.quiet !== true) {
            respond({ t: "loaded", n: message.n, ok });
          }
        });
        return;
      case "pull": {
        const list = this.#digests.follower(message.kind).snapshot();
        respond({ t: "pulled", n: message.n, list });
        return;
      }
      default:
        return;
    }
  }

  #answerReadiness(req: IncomingMessage, res: ServerResponse): void {
    const known = this.#protocol.isReadinessRequest(req.url ?? "");
    res.statusCode = known ? (this.#ready ? 200 : 503) : 404;
    res.end();
  }

  #answerSteering(req: IncomingMessage, res: ServerResponse): void {
    const question = this.#protocol.readSteeringRequest(req.url ?? "");
    if (question === undefined) {
      return sendErrorResponse(res, 404, { id: undefined, reason: "no_route" });
    }
    const now = performance.now();
    const ready = [...this.#members.ready(now)];
    if (this.#ready) ready.push({ ...this.#self, busy: this.#load.busy });
    if (ready.length === 0) {
      return sendErrorResponse(res, 503, {
        id: undefined,
        reason: "no_instance",
        waitSeconds: 0.5,
      });
    }
    const keep = Math.min(
      STEERING_KEEP_SECONDS,
      this.#settings.bounds.maxSteeringTtlSeconds,
    );
    res.setHeader("content-type", "application/json");
    const addresses = this.#steer.selectAddresses(ready, question, now);
    res.end(this.#protocol.writeSteeringResponse(addresses, keep));
  }
}

/** The order in which instances read for others. */
function isBefore(a: Member, b: Member): boolean {
  return a.cores === b.cores ? a.name < b.name : a.cores > b.cores;
}
