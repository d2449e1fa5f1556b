/** What the store and the peers have told: configuration, engines, versions.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  adapterKey,
  type Configuration,
  type Engine,
  type EngineTable,
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
} from "@banyanlb/platform";
import * as events from "./events.ts";
import { GATHER_SELDOM_MS, KindFollower } from "./kind_follower.ts";

/** Kinds that are followed here. */
type KnownKind = "configuration" | "engines" | "versions";

/** Longest watches: a bound on how long a silent connection goes unnoticed if
 * no peer knows better. */
const WATCH_MS = 25_000;
const ENGINES_WATCH_MS = 2000;

/** Engines write often; changes within this time are taken in one call. A
 * leaving engine must be known within a few seconds. */
const ENGINES_GATHER_MS = 1000;

/** Versions are announced in groups. */
const VERSIONS_GATHER_MS = 100;

/** Requests go to an older version of an adapter for this long at most after a
 * newer one was announced: half of the time that the deployment allows. */
const OLDER_ALLOWED_MS = 2500;

interface KnownVersion {
  readonly version: number;
  /** When it was learnt, by the steady clock. */
  readonly since: number;
}

/** The gateway's knowledge, kept up to date. */
export class Knowledge {
  readonly #log: EventLog;
  readonly #board: EngineTable;
  readonly #followers: Readonly<Record<KnownKind, KindFollower>>;
  #table: RouteTable | undefined;
  #engines: ReadonlyMap<string, Engine> = new Map();
  readonly #lapsed = new Map<string, { engine: Engine; until: number }>();
  #versions: ReadonlyMap<string, KnownVersion> = new Map();
  #versionsSeen = false;
  /** Revision of the newest change of which engines there are. */
  #enginesNews = 0;
  readonly #unreachable = new Set<string>();
  #troubleAt = -Infinity;
  readonly #ignored = new Set<string>();
  /** Called when the configuration or the engines have changed. */
  onChange: () => void = () => undefined;
  /** Called when there may be something that peers should know. */
  onNews: () => void = () => undefined;

  constructor(
    store: RecordStore,
    options: {
      readonly board: EngineTable;
      readonly log: EventLog;
      /** Whether this instance reads the store for others. */
      readonly readsForOthers: () => boolean;
    },
  ) {
    this.#board = options.board;
    this.#log = options.log;
    const follow = (
      kind: KnownKind,
      gatherMs: () => number,
      waitMs: number,
      onRecords: (records: ReadonlyMap<string, StoredRecord>) => void,
    ) =>
      new KindFollower(store, {
        kind,
        waitMs,
        gatherMs,
        onRecords: (records) => {
          onRecords(records);
          this.onNews();
        },
        onReachable: (reachable, reason) =>
          this.#noteReachable(kind, reachable, reason),
      });
    const gatherFor = (ms: number) => () =>
      options.readsForOthers() ? ms : GATHER_SELDOM_MS;
    this.#followers = {
      configuration: follow(
        "configuration",
        () => 0,
        WATCH_MS,
        (r) => this.#setConfiguration(r),
      ),
      engines: follow(
        "engines",
        gatherFor(ENGINES_GATHER_MS),
        ENGINES_WATCH_MS,
        (r) => this.#setEngines(r),
      ),
      versions: follow(
        "versions",
        gatherFor(VERSIONS_GATHER_MS),
        WATCH_MS,
        (r) => this.#setVersions(r),
      ),
    };
  }

  /** The configuration in force, indexed. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** The engines of the list. */
  get engines(): Iterable<Engine> {
    return this.#engines.values();
  }

  /** Whether requests can be served. */
  get ready(): boolean {
    return this.#table !== undefined && this.#followers.engines.known;
  }

  /** The follower of a kind. */
  follower(kind: KnownKind): KindFollower {
    return this.#followers[kind];
  }

  /** The revision of the newest change of which engines there are: their other
   * changes need not be told. */
  get enginesNews(): number {
    return this.#enginesNews;
  }

  /** Drops all watches: connections often go silent together. */
  redial(): void {
    for (const follower of Object.values(this.#followers)) follower.redial();
  }

  /** Reads at once what is read seldom otherwise. */
  wake(): void {
    for (const follower of Object.values(this.#followers)) follower.wake();
  }

  /** Whether the store answers. */
  get reachesStore(): boolean {
    return this.#unreachable.size === 0;
  }

  /** The newest announced version of an adapter; 0 if none was announced. */
  versionOf(model: string, adapter: string): number {
    return this.#versions.get(adapterKey(model, adapter))?.version ?? 0;
  }

  /** Whether requests may still go to an older version of an adapter. */
  isOlderAllowed(model: string, adapter: string): boolean {
    const known = this.#versions.get(adapterKey(model, adapter));
    return known === undefined ||
      performance.now() - known.since < OLDER_ALLOWED_MS;
  }

  /** Starts to follow the store. */
  start(): void {
    for (const follower of Object.values(this.#followers)) void follower.run();
  }

  /** Ends it. */
  close(): void {
    for (const follower of Object.values(this.#followers)) follower.close();
  }

  /** Drops engines whose entries have not come back. */
  expireLapsed(now: number): void {
    let changed = false;
    for (const [key, { until }] of this.#lapsed) {
      if (now < until) continue;
      this.#lapsed.delete(key);
      changed = true;
      this.#log.write(events.ENGINE_CHANGED, { engine: key, state: "gone" });
    }
    if (changed) this.#publishEngines();
  }

  #noteReachable(kind: string, reachable: boolean, reason: string): void {
    this.#troubleAt = performance.now();
    if (reachable) this.#unreachable.delete(kind);
    else {
      this.#unreachable.add(kind);
      this.redial();
    }
    if (reachable) this.#log.write(events.STORE_RECOVERED, { kind });
    else this.#log.write(events.STORE_UNAVAILABLE, { kind, reason });
  }

  #setConfiguration(records: ReadonlyMap<string, StoredRecord>): void {
    const record = records.get(CONFIGURATION_NAME);
    if (record === undefined) return;
    const decoded: Configuration | undefined = decodeConfiguration(
      record.value,
    );
    const current = this.#table?.configuration.version;
    if (decoded === undefined) return;
    if (current !== undefined && decoded.version <= current) return;
    this.#table = new RouteTable(decoded);
    this.#log.write(events.CONFIGURATION_APPLIED, {
      version: decoded.version,
      revision: record.revision,
      before: current,
    });
    this.onChange();
  }

  #setVersions(records: ReadonlyMap<string, StoredRecord>): void {
    const versions = new Map(this.#versions);
    // What was announced before this process started may have been so for
    // long.
    const now = this.#versionsSeen ? performance.now() : -Infinity;
    this.#versionsSeen = true;
    for (const record of records.values()) {
      const announced = decodeVersion(record);
      if (announced === undefined) continue;
      const key = adapterKey(announced.model, announced.adapter);
      if ((versions.get(key)?.version ?? 0) >= announced.version) continue;
      versions.set(key, { version: announced.version, since: now });
      this.#log.write(events.VERSION_ANNOUNCED, {
        adapter: key,
        version: announced.version,
        revision: record.revision,
      });
    }
    this.#versions = versions;
  }

  #setEngines(records: ReadonlyMap<string, StoredRecord>): void {
    const now = performance.now();
    const engines = new Map<string, Engine>();
    for (const record of records.values()) {
      const engine = decodeEngine(record);
      if (engine !== undefined) {
        engines.set(engine.key, engine);
        const before = this.#engines.get(engine.key);
        if (before?.leaving !== engine.leaving) this.#noteNews(record.revision);
      } else if (!this.#ignored.has(record.name)) {
        this.#ignored.add(record.name);
        this.#log.write(events.ENGINE_ENTRY_IGNORED, { name: record.name });
      }
    }
    const ids = new Set([...engines.values()].map((e) => e.id));
    for (const engine of this.#engines.values()) {
      if (engines.has(engine.key)) continue;
      this.#noteNews(this.#followers.engines.removedAt(engine.id));
      const until = keepExpiredUntil({
        leaving: engine.leaving || ids.has(engine.id),
        storeTransitionAt: this.#troubleAt,
        now,
      });
      if (until !== undefined) this.#lapsed.set(engine.key, { engine, until });
      this.#log.write(events.ENGINE_CHANGED, {
        engine: engine.key,
        state: until === undefined ? "gone" : "lapsed",
      });
    }
    for (const [key, engine] of engines) {
      this.#lapsed.delete(key);
      const before = this.#engines.get(key);
      if (before !== undefined && before.leaving === engine.leaving) continue;
      this.#log.write(events.ENGINE_CHANGED, {
        engine: key,
        service: engine.service,
        state: engine.leaving ? "leaving" : "ready",
        remainingMs: engine.remainingMs,
      });
    }
    for (const { engine } of this.#lapsed.values()) {
      if (ids.has(engine.id)) this.#lapsed.delete(engine.key);
    }
    this.#engines = engines;
    this.#publishEngines();
  }

  #noteNews(revision: number): void {
    this.#enginesNews = Math.max(this.#enginesNews, revision);
  }

  #publishEngines(): void {
    const lapsed = [...this.#lapsed.values()].map(({ engine }) => engine);
    this.#board.setEngines(
      [...this.#engines.values(), ...lapsed],
      performance.now(),
    );
    this.onChange();
  }
}
