/** Assembles the entry gateway from its parts: listeners, the views of the
 * store and of peers, adapter loading, and the relay of requests.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { EventLog } from "@banyanlb/core";
import {
  BodyRoom,
  DIGEST_TICK_MS,
  EngineChooser,
  EngineLimits,
  EngineTable,
  IDLE_TICKS,
  isLargeFleet,
  type Member,
  MemberTable,
  PathDelays,
  RetryBudget,
  type SelectionContext,
  SystemClocks,
} from "@banyanlb/serving";
import {
  EngineControlClient,
  type InstanceSettings,
  type ListenAddress,
  ObjectStoreClient,
  PlatformCallerProtocol,
} from "@banyanlb/platform";
import { AdapterLoader } from "./adapter_loader.ts";
import { AdapterUsageCounts } from "./adapter_usage.ts";
import { CallerServer } from "./caller_server.ts";
import { Drain } from "./draining/drain.ts";
import { DigestExchange } from "./digest_exchange.ts";
import { EngineConnections } from "./engine_connections.ts";
import { EngineWarmUp } from "./engine_warm_up.ts";
import { EvacuationProgress } from "./evacuation_progress.ts";
import { EventLoopWatch } from "./event_loop_watch.ts";
import * as events from "./events.ts";
import { EXPLAIN_PATH, serveExplanation } from "./explain_endpoint.ts";
import { LimitKeeper } from "./limit_keeper.ts";
import { Membership } from "./membership.ts";
import { GatewayMetrics } from "./metrics.ts";
import { openListener } from "./open_listener.ts";
import { OwnLoad } from "./own_load.ts";
import { PeerLinks, type SendReply } from "./peer_links.ts";
import type { PeerMessage } from "./peer_messages.ts";
import { RateLog } from "./rate_log.ts";
import { EngineAccess } from "./reach/engine_access.ts";
import { ReaderRoles } from "./reader_roles.ts";
import { RecordConfirmer } from "./record_confirmer.ts";
import { CrashProtection } from "./quarantine/crash_protection.ts";
import { Relay } from "./relay.ts";
import type { RelayDependencies } from "./relay_dependencies.ts";
import { SharedRecords } from "./shared_records.ts";
import { PeerConfirmation } from "./software_versions/peer_confirmation.ts";
import { SoftwareVersions } from "./software_versions/software_versions.ts";
import { SteeringEndpoint } from "./steering_endpoint.ts";
import { StoreView } from "./store_view.ts";
import { TrafficLog } from "./traffic_log.ts";
import { WorkspaceRates } from "./workspace_rates.ts";

/** Time between ticks of the adapter loader, in milliseconds. It is longer
 * while this instance owns no engine, since wake-ups of many idle instances are
 * expensive. */
const LOADER_TICK_MS = 50;
const LOADER_IDLE_TICK_MS = 1000;

/** Time after its start from which an instance may be idle, in milliseconds. */
const IDLE_AFTER_MS = 5000;

/** How long an instance that starts waits for the list of members before it
 * reads other records, in milliseconds. */
const MEMBERS_WAIT_MS = 250;

/** Share of the memory of a process that bodies of requests may take. The heap
 * takes most of the rest. */
const BODY_ROOM_SHARE = 3 / 16;

/** One gateway process, from its start to the end of its draining. */
export class Gateway {
  readonly #settings: InstanceSettings;
  readonly #log: EventLog;
  readonly #self: Member;
  readonly #engineTable = new EngineTable();
  readonly #clocks = new SystemClocks();
  readonly #metrics = new GatewayMetrics();
  readonly #protocol = new PlatformCallerProtocol();
  readonly #store: ObjectStoreClient;
  readonly #eventLoopWatch: EventLoopWatch;
  readonly #control = new EngineControlClient();
  readonly #access: EngineAccess;
  readonly #connections: EngineConnections;
  readonly #members: MemberTable;
  readonly #storeView: StoreView;
  readonly #membership: Membership;
  readonly #links: PeerLinks;
  readonly #loader: AdapterLoader;
  readonly #records: SharedRecords;
  readonly #recordConfirmer: RecordConfirmer;
  readonly #digestExchange: DigestExchange;
  readonly #ownLoad = new OwnLoad();
  readonly #pathDelays = new PathDelays();
  readonly #readerRoles: ReaderRoles;
  readonly #crashProtection: CrashProtection;
  readonly #softwareVersions: SoftwareVersions;
  readonly #engineLimits: EngineLimits;
  readonly #warmUp: EngineWarmUp;
  readonly #evacuationProgress: EvacuationProgress;
  readonly #rates: WorkspaceRates;
  readonly #rateLog: RateLog;
  readonly #trafficLog: TrafficLog;
  readonly #retryBudgets = new Map<string, RetryBudget>();
  readonly #callerServer: CallerServer;
  readonly #readinessServer: CallerServer;
  readonly #steeringServer: CallerServer;
  readonly #metricsServer: CallerServer;
  readonly #timers: NodeJS.Timeout[] = [];
  #loaderTimer: NodeJS.Timeout | undefined;
  /** Ticks since the last digests. */
  #ticks = 0;
  #isListening = false;
  readonly #drain: Drain;
  #stopped: Promise<void> | undefined;

  constructor(
    settings: InstanceSettings,
    options: {
      readonly log: EventLog;
      /** Number of log lines dropped so far. */
      readonly droppedLogLines: () => number;
    },
  ) {
    const { log } = options;
    this.#settings = settings;
    this.#log = log;
    const formatAddress = (a: { host: string; port: number }) =>
      `${a.host}:${a.port}`;
    this.#drain = new Drain(settings.bounds.graceMs);
    this.#self = {
      name: settings.name,
      zone: settings.zone,
      region: settings.region,
      peerAddress: formatAddress(settings.peers),
      callerAddress: formatAddress(settings.callers),
      incarnation: randomUUID().slice(0, 8),
      cores: settings.cores,
    };
    this.#members = new MemberTable(settings.name, performance.now());
    this.#trafficLog = new TrafficLog({
      self: this.#self,
      members: this.#members,
      log,
      metrics: this.#metrics,
    });
    this.#access = new EngineAccess({
      self: this.#self,
      members: this.#members,
      engineTable: this.#engineTable,
      control: this.#control,
      protocol: this.#protocol,
      routeTable: () => this.#storeView.routeTable,
      orderGapMs: settings.bounds.orderGapMs,
      assignmentAgeMs: (now) => this.#membership.assignmentFollower.ageMs(now),
      onChange: () => this.#digestExchange.send({ isUrgent: true }),
      servePassed: (req, res) =>
        void relay.servePassed(req, res).catch(recordError(res)),
      log,
      metrics: this.#metrics,
    });
    const { reach } = this.#access;
    this.#connections = new EngineConnections(reach);
    this.#store = new ObjectStoreClient(
      settings.store,
      (transfer) => this.#trafficLog.recordStoreTransfer(transfer),
    );
    this.#store.onEraChange((era) =>
      log.write(events.STORE_ERA_CHANGED, { era })
    );
    this.#eventLoopWatch = new EventLoopWatch({ log, metrics: this.#metrics });
    this.#readerRoles = new ReaderRoles({
      self: this.#self,
      members: this.#members,
      reachesStore: () => this.#reachesStore,
      storeRoundTripMs: () => this.#membership.storeRoundTripMs,
      onBecomeReader: () => {
        this.#storeView.readNow();
        this.#membership.readNow();
      },
    });
    this.#storeView = new StoreView(this.#store, {
      engineTable: this.#engineTable,
      log,
      isStoreReader: () => this.#readerRoles.isStoreReader,
      changeKnownMs: settings.bounds.changeKnownMs,
      evacuationKnownMs: settings.bounds.evacuationKnownMs,
      regions: settings.regions,
    });
    this.#rates = new WorkspaceRates({
      self: this.#self,
      members: this.#members,
      areMembersKnown: () => this.#membership.memberFollower.known,
      keepsEntry: () => this.#membership.holdsLease,
      clocks: this.#clocks,
      windowMs: settings.bounds.rateWindowMs,
      links: () => this.#links,
    });
    const peerConfirmation = new PeerConfirmation({
      members: this.#members,
      records: () => this.#records,
      links: () => this.#links,
    });
    this.#softwareVersions = new SoftwareVersions({
      self: this.#self,
      members: this.#members,
      engineTable: this.#engineTable,
      store: this.#store,
      reachesStore: () => this.#reachesStore,
      routeTable: () => this.#storeView.routeTable,
      regionOf: (zone) => settings.regions.get(zone),
      isEvacuated: (zone) => this.#storeView.evacuations.isEvacuated(zone),
      confirmWithPeers: () => peerConfirmation.confirm(),
      log,
    });
    this.#membership = new Membership(this.#store, {
      self: this.#self,
      members: this.#members,
      engineTable: this.#engineTable,
      clocks: this.#clocks,
      log,
      orderGapMs: settings.bounds.orderGapMs,
      changeKnownMs: settings.bounds.changeKnownMs,
      isStoreReader: () => this.#readerRoles.isStoreReader,
      rates: this.#rates,
      onAssignmentRecords: (records) => {
        this.#softwareVersions.setRecords(records);
        this.#announceChanges();
      },
      onAssignmentChange: () => this.#loader.tick(),
      onStoreFailure: () => {
        this.#storeView.reconnect();
        this.#membership.reconnect();
      },
      ownPath: this.#access.ownPath,
      acceptsOrders: (service) => this.#access.acceptsOrders(service),
    });
    this.#links = new PeerLinks(this.#self, {
      onRequests: (socket) => this.#access.passedRequests.accept(socket),
      onMessage: (from, message, sendReply) =>
        this.#onPeerMessage(from, message, sendReply),
      onInvalidMessage: (reason) =>
        log.write(events.PEER_MESSAGE_INVALID, { reason }),
      onReceived: (type, bytes, sender) =>
        this.#trafficLog.recordPeerMessage(type, bytes, sender),
    });
    this.#loader = new AdapterLoader({
      self: settings.name,
      engineTable: this.#engineTable,
      control: this.#control,
      storeView: this.#storeView,
      membership: this.#membership,
      members: this.#members,
      links: this.#links,
      reach,
      onColdTime: (engine, leftMs) => this.#warmUp.recordTold(engine, leftMs),
      log,
      metrics: this.#metrics,
    });
    this.#records = new SharedRecords({
      followers: {
        configuration: this.#storeView.follower("configuration"),
        engines: this.#storeView.follower("engines"),
        versions: this.#storeView.follower("versions"),
        assignment: this.#membership.assignmentFollower,
        evacuations: this.#storeView.evacuationFollower,
      },
      engineSet: () => this.#storeView.engineSet,
      evacuationSet: () => this.#storeView.evacuationSet,
      links: () => this.#links,
      log,
    });
    this.#recordConfirmer = new RecordConfirmer({
      records: this.#records,
      unshared: [this.#membership.memberFollower],
      leads: () => this.#readerRoles.leads,
      fallbackLeads: () => this.#readerRoles.fallbackLeads,
      role: () => this.#readerRoles.role,
      links: () => this.#links,
    });
    this.#crashProtection = new CrashProtection({
      self: this.#self,
      members: this.#members,
      store: this.#store,
      control: this.#access,
      reachesStore: () => this.#storeView.reachesStore,
      log,
      metrics: this.#metrics,
    });
    this.#warmUp = new EngineWarmUp({
      self: this.#self,
      engineTable: this.#engineTable,
      members: this.#members,
      termsOf: (service) =>
        this.#storeView.routeTable?.findService(service)?.warmUp,
      regionOf: (zone) => settings.regions.get(zone),
      bounds: {
        ratio: settings.bounds.coldRatio,
        fixed: settings.bounds.coldFixed,
      },
      log,
    });
    this.#engineLimits = new EngineLimits(
      this.#self.name,
      () => this.#members.servingInstances(performance.now()),
      this.#warmUp,
    );
    const use = new AdapterUsageCounts();
    this.#digestExchange = new DigestExchange({
      self: this.#self,
      members: this.#members,
      membership: this.#membership,
      engineTable: this.#engineTable,
      loader: this.#loader,
      records: this.#records,
      rates: this.#rates,
      use,
      quarantine: this.#crashProtection.quarantine,
      limits: this.#engineLimits,
      warmUps: this.#warmUp.warmUps,
      roles: this.#readerRoles,
      reachesStore: () => this.#reachesStore,
      pathDelays: this.#pathDelays,
      clocks: this.#clocks,
      regionOf: (zone) => this.#settings.regions.get(zone),
      otherRegions: () =>
        [...new Set(this.#settings.regions.values())].filter((region) =>
          region !== this.#self.region
        ),
      links: () => this.#links,
      state: () => ({
        ready: this.#isReady,
        leaving: this.#drain.isStarted,
        serves: this.#ownLoad.serves,
        busy: this.#ownLoad.busy,
        ...this.#access.state,
      }),
      reach,
      log,
    });
    this.#rateLog = new RateLog({ rates: this.#rates, log });
    const relayDependencies: RelayDependencies = {
      protocol: this.#protocol,
      routeTable: () => this.#storeView.routeTable,
      configurationAgeMs: (now) =>
        this.#storeView.follower("configuration").ageMs(now),
      chooser: new EngineChooser(this.#engineTable),
      loader: this.#loader,
      connections: this.#connections,
      members: this.#members,
      rates: this.#rates,
      retryBudgetOf: (service) => this.#retryBudgetOf(service),
      versionOf: (model, adapter) => this.#storeView.versionOf(model, adapter),
      oldestVersionOf: (model, adapter) =>
        this.#storeView.oldestVersionOf(model, adapter),
      selectionContextAt: (now) => this.#selectionContextAt(now),
      use,
      limits: new LimitKeeper({
        limits: this.#engineLimits,
        warmUp: this.#warmUp,
        log,
      }),
      bodyRoom: new BodyRoom(settings.memoryBytes * BODY_ROOM_SHARE),
      crashProtection: this.#crashProtection,
      softwareVersions: this.#softwareVersions,
      passer: this.#access.passer,
      hasTimeFor: (route) => this.#drain.hasTimeFor(route),
      log,
      metrics: this.#metrics,
    };
    const relay = new Relay(relayDependencies);
    const recordError = (res: ServerResponse) => (err: unknown) => {
      log.write(events.UNEXPECTED_ERROR, { error: String(err) });
      res.destroy();
    };
    this.#callerServer = new CallerServer((req, res) => {
      this.#ownLoad.countRequest(performance.now());
      relay.serve(req, res).catch(recordError(res));
    });
    this.#readinessServer = new CallerServer((req, res) =>
      this.#serveReadiness(req, res)
    );
    const steering = new SteeringEndpoint({
      protocol: this.#protocol,
      maxCacheSeconds: settings.bounds.maxSteeringTtlSeconds,
      readyMembers: (now) =>
        this.#access.preferReaching([
          ...this.#members.ready(now),
          ...(this.#isReady
            ? [{ ...this.#self, busy: this.#ownLoad.busy }]
            : []),
        ]),
      steeringRegionsOf: (host) =>
        this.#storeView.routeTable?.steeringRegionsOf(host),
    });
    this.#steeringServer = new CallerServer((req, res) =>
      steering.serve(req, res)
    );
    this.#metricsServer = new CallerServer((req, res) => {
      if (req.url?.startsWith(EXPLAIN_PATH) === true) {
        return serveExplanation(relayDependencies, req, res);
      }
      const metrics = this.#metrics;
      const now = performance.now();
      metrics.set("log_lines_dropped", options.droppedLogLines());
      metrics.set(
        "configuration_version",
        this.#storeView.routeTable?.configuration.version ?? 0,
      );
      metrics.set(
        "configuration_age_ms",
        this.#storeView.follower("configuration").ageMs(now),
      );
      metrics.set("limited_engines", this.#engineLimits.size);
      metrics.set(
        "remembered_streams",
        this.#softwareVersions.streams.count(now),
      );
      metrics.set("digest_age_ms", this.#digestExchange.oldestAgeMs);
      metrics.set("paused_engines", this.#engineLimits.pausedCount(now));
      metrics.set("cold_engines", this.#warmUp.warmUps.count(now));
      metrics.set("evacuated_zones", this.#storeView.evacuations.size);
      metrics.set("evacuated_requests", this.#evacuationProgress.runningCount);
      res.end(metrics.render());
    });
    this.#evacuationProgress = new EvacuationProgress({
      engineTable: this.#engineTable,
      evacuations: this.#storeView.evacuations,
      log,
    });
    this.#storeView.onChange = () => this.#onStoreViewChange();
    this.#storeView.onEvacuationChange = (change) => {
      if (change.state === "ended") this.#warmUp.recordReturn(change.zone);
    };
    this.#storeView.onRecordsApplied = () => this.#announceChanges();
  }

  /** Starts to follow the store and opens the listeners. An address that is not
   * free is waited for; rejects if one cannot be used at all. */
  async start(): Promise<void> {
    this.#membership.start();
    void this.#startStoreView();
    this.#crashProtection.start();
    const { peers, callers, readiness, steering, metrics } = this.#settings;
    // Callers are served without the metrics page.
    this.#open(this.#metricsServer, metrics).catch((err: unknown) =>
      this.#log.write(events.UNEXPECTED_ERROR, { error: String(err) })
    );
    await Promise.all([
      this.#open(this.#links, peers),
      this.#open(this.#callerServer, callers),
      this.#open(this.#readinessServer, readiness),
      this.#open(this.#steeringServer, steering),
    ]);
    if (this.#drain.isStarted) return;
    this.#isListening = true;
    this.#softwareVersions.recordFormerEnd().catch((err: unknown) =>
      this.#log.write(events.UNEXPECTED_ERROR, { error: String(err) })
    );
    for (const seed of this.#settings.seeds) {
      if (seed === this.#self.peerAddress) continue;
      // The peer adds the sender of a hello to its members and sends it
      // digests.
      this.#links.send(seed, { t: "hello", member: this.#self });
    }
    this.#timers.push(
      setInterval(() => this.#tick(), DIGEST_TICK_MS),
    );
    this.#eventLoopWatch.start();
    this.#runLoader();
    this.#log.write(events.STARTED, {
      name: this.#self.name,
      zone: this.#self.zone,
      callers: this.#self.callerAddress,
      peers: this.#self.peerAddress,
      incarnation: this.#self.incarnation,
    });
  }

  #open(
    server: Pick<CallerServer, "listen">,
    address: ListenAddress,
  ): Promise<void> {
    return openListener(() => server.listen(address), {
      address,
      isClosed: () => this.#drain.isStarted,
      log: this.#log,
    });
  }

  /** Reads the records once the members are known: in a large fleet most
   * instances receive them from a peer. */
  async #startStoreView(): Promise<void> {
    await this.#membership.waitForMembers(MEMBERS_WAIT_MS);
    const now = performance.now();
    this.#readerRoles.update(now);
    this.#storeView.start();
    this.#membership.startAssignment();
    if (isLargeFleet(this.#members.list().length)) this.#digestExchange.send();
  }

  /** Whether the store replies to the calls of this instance. */
  get #reachesStore(): boolean {
    return this.#storeView.reachesStore && !this.#membership.isRenewalFailing;
  }

  /** Drains this instance once, however often it is called: readiness checks and
   * digests report that it is not ready, and requests that still arrive are
   * served. Then closes the gateway; resolves when the process may exit. */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    const { passedRequests } = this.#access;
    const drained = this.#drain.run({
      requests: () => ({
        active: this.#callerServer.active + passedRequests.active,
        idleMs: this.#callerServer.idleMs(),
        connections: this.#callerServer.connections,
      }),
      closeIntake: () => {
        this.#callerServer.closeIntake();
        passedRequests.closeIntake();
        this.#log.write(events.INTAKE_CLOSED, {
          active: this.#callerServer.active + passedRequests.active,
          connections: this.#callerServer.connections,
          ms: Math.round(this.#drain.elapsedMs),
        });
      },
      report: () =>
        this.#softwareVersions.end().catch((err: unknown) =>
          this.#log.write(events.UNEXPECTED_ERROR, { error: String(err) })
        ),
    });
    this.#log.write(events.STOPPING, { active: this.#callerServer.active });
    this.#callerServer.startDraining();
    this.#digestExchange.send({ isUrgent: true });
    await drained;
    this.#log.write(events.STOPPED, {
      active: this.#callerServer.active,
      ms: Math.round(this.#drain.elapsedMs),
    });
    this.close();
  }

  /** Closes all listeners and connections without draining. */
  close(): void {
    for (const timer of this.#timers) clearInterval(timer);
    clearTimeout(this.#loaderTimer);
    this.#eventLoopWatch.close();
    this.#crashProtection.close();
    this.#softwareVersions.close();
    this.#storeView.close();
    this.#membership.close();
    this.#digestExchange.close();
    this.#links.close();
    this.#access.close();
    this.#connections.close();
    this.#control.close();
    this.#store.close();
    for (
      const listener of [
        this.#callerServer,
        this.#readinessServer,
        this.#steeringServer,
        this.#metricsServer,
      ]
    ) listener.close();
  }

  get #isReady(): boolean {
    return this.#isListening && this.#storeView.ready &&
      this.#crashProtection.isReady && this.#softwareVersions.isReady &&
      !this.#drain.isStarted;
  }

  /** Announces changed records to all peers at once if this instance is a store
   * reader. */
  #announceChanges(): void {
    if (this.#readerRoles.isStoreReader) this.#digestExchange.announceChanges();
  }

  #runLoader(): void {
    this.#loader.tick();
    this.#loaderTimer = setTimeout(
      () => this.#runLoader(),
      this.#loader.isIdle ? LOADER_IDLE_TICK_MS : LOADER_TICK_MS,
    );
  }

  /** Does the periodic work at once, since wake-ups of many idle instances are
   * expensive. */
  #tick(): void {
    const now = performance.now();
    this.#ownLoad.tick(now);
    this.#recordConfirmer.check(now);
    this.#access.check(now);
    this.#ticks += 1;
    if (this.#isIdle && this.#ticks < IDLE_TICKS) return;
    this.#digestExchange.send({ ticks: this.#ticks });
    this.#ticks = 0;
    this.#readerRoles.update(now);
    this.#rates.update(now);
    this.#evacuationProgress.check(now);
    this.#storeView.dropMissingEngines(now);
    void this.#softwareVersions.check(now);
    this.#rateLog.tick(now);
    this.#trafficLog.tick(now);
  }

  /** Whether nobody in a large fleet needs news of this instance often: it does
   * no work for others, and has been running for a while. */
  get #isIdle(): boolean {
    return !this.#ownLoad.serves && this.#loader.isIdle &&
      !this.#digestExchange.isCollector && !this.#readerRoles.isStoreReader &&
      isLargeFleet(this.#members.list().length) &&
      performance.now() > IDLE_AFTER_MS && !this.#drain.isStarted;
  }

  #onStoreViewChange(): void {
    const routeTable = this.#storeView.routeTable;
    if (routeTable === undefined) return;
    this.#callerServer.setLimits(routeTable.configuration.limits);
    this.#loader.tick();
    this.#membership.checkNow();
    const keys = new Set([...this.#engineTable.all()].map((v) => v.engine.key));
    this.#crashProtection.recordEngineList((key) => keys.has(key));
    this.#warmUp.recordList();
    this.#engineLimits.keepOnly((key) => keys.has(key));
    this.#access.reach.keepOnly((key) => keys.has(key));
    for (const key of this.#connections.engineKeys()) {
      if (!keys.has(key)) this.#connections.retire(key);
    }
    this.#rates.setWorkspaces(
      routeTable.configuration.workspaces,
      performance.now(),
    );
  }

  #retryBudgetOf(service: string): RetryBudget {
    let retryBudget = this.#retryBudgets.get(service);
    if (retryBudget === undefined) {
      const { retryRatio, retryWindowMs, retryFixed } = this.#settings.bounds;
      retryBudget = new RetryBudget({
        ratio: retryRatio,
        windowMs: retryWindowMs,
        fixedRetries: retryFixed,
      });
      this.#retryBudgets.set(service, retryBudget);
    }
    return retryBudget;
  }

  #selectionContextAt(now: number): SelectionContext {
    const { zone, regions } = this.#settings;
    const delayByRegion = new Map<string, number>();
    return {
      zone,
      regionOf: (engineZone) => regions.get(engineZone),
      canOrder: (key) => this.#loader.canOrder(key),
      isEvacuated: (engineZone) =>
        this.#storeView.evacuations.isEvacuated(engineZone),
      isCold: (key) => this.#warmUp.isCold(key, now),
      roomOf: (key) => {
        const waiting = this.#engineTable.get(key)?.path.waitingCount;
        return this.#engineLimits.roomOf(key, now, waiting);
      },
      linkMs: (engineZone) => {
        const region = regions.get(engineZone) ?? "";
        const delayMs = delayByRegion.get(region) ??
          this.#pathDelays.to(region, now);
        delayByRegion.set(region, delayMs);
        return delayMs;
      },
      now,
    };
  }

  #onPeerMessage(
    from: string,
    message: PeerMessage,
    sendReply: SendReply,
  ): void {
    switch (message.t) {
      case "hello":
        this.#members.add(message.member);
        return;
      case "digest2":
        this.#digestExchange.receive(from, message);
        return;
      case "load":
        void this.#loader.loadAtOwnEngine(message.engine, message).then(
          (ok) => {
            if (message.quiet !== true) {
              sendReply({ t: "loaded", n: message.n, ok });
            }
          },
        );
        return;
      case "want":
        this.#loader.recordWantedModel(message.service, message.model);
        return;
      case "confirm":
        sendReply({
          t: "confirmed",
          n: message.n,
          kinds: this.#records.confirmedRows(performance.now()),
        });
        return;
      case "take":
        this.#rates.lend(from, message, sendReply);
        return;
      case "return":
        this.#rates.takeBack(from, message.n);
        return;
      case "pull":
        sendReply(
          this.#records.pullReply(message.n, message.kind, performance.now()),
        );
        return;
      default:
        return;
    }
  }

  #serveReadiness(req: IncomingMessage, res: ServerResponse): void {
    const isReadinessPath = this.#protocol.isReadinessRequest(req.url ?? "");
    res.statusCode = isReadinessPath ? (this.#isReady ? 200 : 503) : 404;
    res.end();
  }
}
