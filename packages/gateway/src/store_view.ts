/** This instance's view of the store: configuration, engines and versions of
 * adapters, received from the store or from peers.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  adapterKey,
  AdapterVersions,
  addFingerprints,
  confirmationTimes,
  type Engine,
  type EngineTable,
  type EvacuationChange,
  Evacuations,
  fingerprintOfText,
  keepExpiredUntil,
  type RecordStore,
  RouteTable,
  type StoredRecord,
} from "@banyanlb/serving";
import {
  CONFIGURATION_NAME,
  decodeConfiguration,
  decodeEngine,
  decodeVersion,
  hasOddColdTime,
  progressOf,
} from "@banyanlb/platform";
import * as events from "./events.ts";
import type { RecordSummary } from "./shared_records.ts";
import {
  NON_READER_WATCH_PAUSE_MS,
  RecordFollower,
  type RecordSource,
} from "./record_follower.ts";

/** Kinds of records that the view follows. */
type FollowedKind = "configuration" | "engines" | "versions";

/** A kind that operators of some deployments do not use. */
type OptionalKind = "evacuations";

/** Longest wait of one watch, in milliseconds. It bounds how long a dead
 * connection goes unnoticed if no peer reports a newer revision. */
const WATCH_WAIT_MS = 25_000;
const ENGINES_WATCH_WAIT_MS = 2000;

/** Pause between watches of the engines, in milliseconds. Engines write their
 * entries often, and changes within the pause are read in one call. A leaving
 * engine must be detected within a few seconds. */
const ENGINES_WATCH_PAUSE_MS = 1000;

/** Pause between watches of the versions, in milliseconds: versions are
 * announced in groups. */
const VERSIONS_WATCH_PAUSE_MS = 100;

/** How long records are kept that a restored store lacks, and stay removed that it
 * holds again, in milliseconds. Operators and engines write again what it has
 * lost; the entry of an engine that is gone expires. */
const LOST_RECORD_MS = 5000;

/** The same for an evacuation that has ended: one that begins again must be known
 * within a few seconds. */
const ENDED_EVACUATION_MS = 2000;

/** Share of the time within which an evacuation must be known that is left for it
 * to become known: a request that was sent before may be under way for the
 * rest. */
const EVACUATION_KNOWN_SHARE = 0.7;

/** Keeps configuration, engines, versions and evacuations up to date. */
export class StoreView {
  readonly #log: EventLog;
  readonly #engineTable: EngineTable;
  readonly #followers: Readonly<Record<FollowedKind, RecordFollower>>;
  /** Undefined if operators evacuate no zones. */
  readonly #evacuationFollower: RecordFollower | undefined;
  readonly #evacuations = new Evacuations();
  readonly #regions: ReadonlyMap<string, string> | undefined;
  #routeTable: RouteTable | undefined;
  #engines: ReadonlyMap<string, Engine> = new Map();
  /** Engines whose entries have vanished but may be written again, each
   * with the time until which the engine is kept. */
  readonly #missing = new Map<string, { engine: Engine; until: number }>();
  readonly #versions = new AdapterVersions();
  #hasVersionList = false;
  /** Revision of the newest change of the set of engines or of whether one is
   * leaving. */
  #engineSetRevision = 0;
  #engineSetFingerprint = 0;
  /** Revision up to which changes were received when a zone was last evacuated, or
   * put in use again: a removed record leaves no revision of its own. */
  #evacuationRevision = 0;
  readonly #stopHearingOfEras: () => void;
  readonly #unreachableKinds = new Set<string>();
  #reachabilityChangedAt = -Infinity;
  readonly #ignoredEntries = new Set<string>();
  readonly #oddColdTimes = new Set<string>();
  readonly #oddZones = new Set<string>();
  /** Revision of the last configuration that was logged as ignored. */
  #ignoredConfigurationRevision = 0;
  /** Called when the configuration or the engines have changed. */
  onChange: () => void = () => undefined;
  /** Called when a zone has been evacuated, or is in use again. */
  onEvacuationChange: (change: EvacuationChange) => void = () => undefined;
  /** Called after records from the store or a peer were applied. */
  onRecordsApplied: () => void = () => undefined;

  constructor(
    store: RecordStore,
    options: {
      readonly engineTable: EngineTable;
      readonly log: EventLog;
      /** Whether this instance reads the store on behalf of its region. */
      readonly isStoreReader: () => boolean;
      /** Time within which a change must be known here, in milliseconds. */
      readonly changeKnownMs: number;
      /** Time within which an evacuation must be known here, in milliseconds;
       * undefined if operators evacuate no zones. */
      readonly evacuationKnownMs?: number | undefined;
      /** The regions of the deployment's zones, if they are known. */
      readonly regions?: ReadonlyMap<string, string>;
    },
  ) {
    this.#regions = options.regions;
    this.#engineTable = options.engineTable;
    this.#log = options.log;
    this.#stopHearingOfEras = store.onEraChange(() => {
      this.reconnect();
      this.readNow();
    });
    const createFollower = (
      kind: FollowedKind | OptionalKind,
      watchPauseMs: () => number,
      waitMs: number,
      onRecords: (
        records: ReadonlyMap<string, StoredRecord>,
        source: RecordSource,
      ) => void,
      changeKnownMs = options.changeKnownMs,
    ) =>
      new RecordFollower(store, {
        kind,
        waitMs,
        watchPauseMs,
        mayWatch: options.isStoreReader,
        confirmationTimes: confirmationTimes(changeKnownMs),
        lostRecords: {
          progressOf: (record) => progressOf(kind, record),
          // Engines that vanish are kept until their entries must be back.
          keptMs: kind === "engines" ? 0 : LOST_RECORD_MS,
          hiddenMs: kind === "evacuations"
            ? ENDED_EVACUATION_MS
            : LOST_RECORD_MS,
          // Engines write their entries regularly.
          aheadMs: kind === "engines" ? LOST_RECORD_MS : Infinity,
        },
        // Engines write their entries again once the store is back.
        onNewEra: () => (this.#reachabilityChangedAt = performance.now()),
        onRecords: (records, source) => {
          onRecords(records, source);
          this.onRecordsApplied();
        },
        onReachabilityChange: (reachable, reason) =>
          this.#onReachabilityChange(kind, reachable, reason),
        log: options.log,
      });
    const watchPauseFor = (readerPauseMs: number) => () =>
      options.isStoreReader() ? readerPauseMs : NON_READER_WATCH_PAUSE_MS;
    this.#followers = {
      configuration: createFollower(
        "configuration",
        () => 0,
        WATCH_WAIT_MS,
        (r, source) => this.#setConfiguration(r, source),
      ),
      engines: createFollower(
        "engines",
        watchPauseFor(ENGINES_WATCH_PAUSE_MS),
        ENGINES_WATCH_WAIT_MS,
        (r) => this.#setEngines(r),
      ),
      versions: createFollower(
        "versions",
        watchPauseFor(VERSIONS_WATCH_PAUSE_MS),
        WATCH_WAIT_MS,
        (r) => this.#setVersions(r),
      ),
    };
    this.#evacuationFollower = options.evacuationKnownMs === undefined
      ? undefined
      : createFollower(
        "evacuations",
        () => 0,
        WATCH_WAIT_MS,
        (r) => this.#setEvacuations(r),
        options.evacuationKnownMs * EVACUATION_KNOWN_SHARE,
      );
  }

  /** The routes, workspaces and services of the configuration in force;
   * undefined if no configuration was received yet. */
  get routeTable(): RouteTable | undefined {
    return this.#routeTable;
  }

  /** The engines that are listed in the store. */
  get engines(): Iterable<Engine> {
    return this.#engines.values();
  }

  /** Whether requests can be served: configuration and engines were
   * received. */
  get ready(): boolean {
    return this.#routeTable !== undefined && this.#followers.engines.known &&
      this.#evacuationFollower?.known !== false;
  }

  /** The zones that operators have evacuated. */
  get evacuations(): Evacuations {
    return this.#evacuations;
  }

  /** The follower of evacuations; undefined if operators evacuate no zones. */
  get evacuationFollower(): RecordFollower | undefined {
    return this.#evacuationFollower;
  }

  /** The follower of a kind of records. */
  follower(kind: FollowedKind): RecordFollower {
    return this.#followers[kind];
  }

  /** The newest change of the set of engines or of whether one is leaving, and
   * the set's fingerprint. Other changes of engines are not announced to
   * peers. */
  get engineSet(): RecordSummary {
    return {
      revision: this.#engineSetRevision,
      fingerprint: this.#engineSetFingerprint,
    };
  }

  /** The newest change of the evacuated zones. */
  get evacuationSet(): RecordSummary {
    return {
      revision: this.#evacuationRevision,
      fingerprint: this.#evacuationFollower?.fingerprint ?? 0,
    };
  }

  /** Restarts all watches: connections to the store often die together. */
  reconnect(): void {
    for (const follower of this.#allFollowers) follower.reconnect();
  }

  /** Reads all kinds at once, without the pause between watches. */
  readNow(): void {
    for (const follower of this.#allFollowers) follower.readNow();
  }

  /** Whether the store replies to the calls of all kinds. */
  get reachesStore(): boolean {
    return this.#unreachableKinds.size === 0 &&
      !this.#allFollowers.some((f) => f.isConfirmationFailing);
  }

  get #allFollowers(): readonly RecordFollower[] {
    const followers = Object.values(this.#followers);
    return this.#evacuationFollower === undefined
      ? followers
      : [...followers, this.#evacuationFollower];
  }

  /** The newest announced version of an adapter; 0 if none was announced. */
  versionOf(model: string, adapter: string): number {
    return this.#versions.newestOf(adapterKey(model, adapter));
  }

  /** The oldest version of an adapter that requests may use; 0 if they may use
   * any. */
  oldestVersionOf(model: string, adapter: string): number {
    const key = adapterKey(model, adapter);
    return this.#versions.oldestUsable(key, performance.now());
  }

  /** Starts to follow the store. */
  start(): void {
    for (const follower of this.#allFollowers) void follower.run();
  }

  /** Stops following the store. */
  close(): void {
    this.#stopHearingOfEras();
    for (const follower of this.#allFollowers) follower.close();
  }

  /** Drops missing engines whose entries have not been written again in
   * time. */
  dropMissingEngines(now: number): void {
    let isChanged = false;
    for (const [key, { until }] of this.#missing) {
      if (now < until) continue;
      this.#missing.delete(key);
      isChanged = true;
      this.#log.write(events.ENGINE_CHANGED, { engine: key, state: "gone" });
    }
    if (isChanged) this.#updateEngineTable();
  }

  #onReachabilityChange(
    kind: string,
    reachable: boolean,
    reason: string,
  ): void {
    this.#reachabilityChangedAt = performance.now();
    if (reachable) this.#unreachableKinds.delete(kind);
    else {
      this.#unreachableKinds.add(kind);
      this.reconnect();
    }
    if (reachable) this.#log.write(events.STORE_RECOVERED, { kind });
    else this.#log.write(events.STORE_UNAVAILABLE, { kind, reason });
  }

  #setConfiguration(
    records: ReadonlyMap<string, StoredRecord>,
    source: RecordSource,
  ): void {
    const record = records.get(CONFIGURATION_NAME);
    if (record === undefined) return;
    const decoded = decodeConfiguration(record.value, {
      regions: this.#regions && new Set(this.#regions.values()),
    });
    const current = this.#routeTable?.configuration.version;
    const version = decoded?.configuration.version ?? -Infinity;
    const { revision } = record;
    if (decoded === undefined || version < (current ?? -Infinity)) {
      if (revision === this.#ignoredConfigurationRevision) return;
      this.#ignoredConfigurationRevision = revision;
      this.#log.write(events.CONFIGURATION_IGNORED, {
        reason: decoded === undefined ? "not decodable" : "older version",
        version: decoded?.configuration.version,
        revision,
        source,
        inForce: current,
      });
      return;
    }
    if (version === current) return;
    this.#routeTable = new RouteTable(decoded.configuration);
    this.#log.write(events.CONFIGURATION_APPLIED, {
      version,
      revision,
      before: current,
      source,
      skippedEntries: decoded.skippedEntries || undefined,
    });
    for (const problem of decoded.problems) {
      this.#log.write(events.CONFIGURATION_PROBLEM, { version, ...problem });
    }
    this.onChange();
  }

  #setVersions(records: ReadonlyMap<string, StoredRecord>): void {
    // Versions of the first list may have been announced long before this
    // process started.
    const receivedAt = this.#hasVersionList ? performance.now() : -Infinity;
    this.#hasVersionList = true;
    for (const record of records.values()) {
      const announced = decodeVersion(record);
      if (announced === undefined) continue;
      const key = adapterKey(announced.model, announced.adapter);
      const { version } = announced;
      if (!this.#versions.announce(key, { version, receivedAt })) continue;
      this.#log.write(events.VERSION_ANNOUNCED, {
        adapter: key,
        version,
        revision: record.revision,
      });
    }
  }

  #setEvacuations(records: ReadonlyMap<string, StoredRecord>): void {
    const regions = this.#regions;
    for (const zone of records.keys()) {
      if (regions?.has(zone) !== false || this.#oddZones.has(zone)) continue;
      this.#oddZones.add(zone);
      this.#log.write(events.EVACUATION_WITHOUT_ZONE, {
        path: `evacuations/${zone}`,
        problem: "the deployment has no such zone",
        remedy: `remove it, or use one of ${[...regions.keys()].join(", ")}`,
      });
    }
    const changes = this.#evacuations.replace(
      records.keys(),
      performance.now(),
    );
    for (const change of changes) {
      this.#log.write(events.EVACUATION_CHANGED, {
        ...change,
        revision: records.get(change.zone)?.revision,
      });
      this.onEvacuationChange(change);
    }
    if (changes.length === 0) return;
    this.#evacuationRevision = this.#evacuationFollower?.revision ?? 0;
    this.onChange();
  }

  #setEngines(records: ReadonlyMap<string, StoredRecord>): void {
    const now = performance.now();
    const engines = new Map<string, Engine>();
    for (const record of records.values()) {
      const engine = decodeEngine(record);
      if (engine !== undefined) {
        engines.set(engine.key, engine);
        if (hasOddColdTime(record) && !this.#oddColdTimes.has(engine.key)) {
          this.#oddColdTimes.add(engine.key);
          this.#log.write(events.COLD_TIME_IGNORED, { engine: engine.key });
        }
        const old = this.#engines.get(engine.key);
        // One that has only read the store's older copy must learn of it.
        if (record.isLost) this.#noteChange(record.revision + 1);
        else if (old?.leaving !== engine.leaving) {
          this.#noteChange(record.revision);
        }
      } else if (!this.#ignoredEntries.has(record.name)) {
        this.#ignoredEntries.add(record.name);
        this.#log.write(events.ENGINE_ENTRY_IGNORED, { name: record.name });
      }
    }
    const listedIds = new Set([...engines.values()].map((e) => e.id));
    for (const engine of this.#engines.values()) {
      if (engines.has(engine.key)) continue;
      this.#noteChange(this.#followers.engines.removalRevisionOf(engine.id));
      const until = keepExpiredUntil({
        leaving: engine.leaving || listedIds.has(engine.id),
        storeTransitionAt: this.#reachabilityChangedAt,
        now,
      });
      if (until !== undefined) this.#missing.set(engine.key, { engine, until });
      this.#log.write(events.ENGINE_CHANGED, {
        engine: engine.key,
        state: until === undefined ? "gone" : "lapsed",
      });
    }
    for (const [key, engine] of engines) {
      this.#missing.delete(key);
      const old = this.#engines.get(key);
      if (old !== undefined && old.leaving === engine.leaving) continue;
      this.#log.write(events.ENGINE_CHANGED, {
        engine: key,
        service: engine.service,
        softwareVersion: engine.softwareVersion,
        state: engine.leaving ? "leaving" : "ready",
        remainingMs: engine.remainingMs,
      });
    }
    for (const { engine } of this.#missing.values()) {
      if (listedIds.has(engine.id)) this.#missing.delete(engine.key);
    }
    this.#engines = engines;
    this.#engineSetFingerprint = [...engines.values()].reduce(
      (sum, { key, leaving }) =>
        addFingerprints(sum, fingerprintOfText(`${key} ${leaving}`)),
      0,
    );
    this.#updateEngineTable();
  }

  /** Raises the revision of the engine set. */
  #noteChange(revision: number): void {
    this.#engineSetRevision = Math.max(this.#engineSetRevision, revision);
  }

  #updateEngineTable(): void {
    const missing = [...this.#missing.values()].map(({ engine }) => engine);
    this.#engineTable.setEngines(
      [...this.#engines.values(), ...missing],
      performance.now(),
    );
    this.onChange();
  }
}
