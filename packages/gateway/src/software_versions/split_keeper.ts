/** Writes the splits of streams among software versions, and removes the reports
 * of processes that have ended.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  type Configuration,
  type Engine,
  type EngineTable,
  FIRST_ERA,
  type HomeRegions,
  isPermitted,
  type Member,
  type MemberTable,
  planSplits,
  poolOf,
  type RecordStore,
  type RoomByVersion,
  type RouteTable,
  StoreCallError,
  TAKE_UP_MAX_MS,
  takeUpsEndAt,
} from "@banyanlb/serving";
import * as events from "../events.ts";
import type { SplitAdoption } from "./split_adoption.ts";
import { decodeReport, SPLITS_RECORD_NAME } from "./split_records.ts";

/** Minimum time between checks, in milliseconds. */
const CHECK_INTERVAL_MS = 400;

/** How long after its start an instance waits before it writes splits, in
 * milliseconds: the engines of a new deployment should be listed by then. */
const SETTLE_MS = 2500;

/** Room of an engine that is cold, compared with a warm one, and how long one that
 * has joined takes to have all of its room, in milliseconds: it is slow, and holds
 * no adapters. */
const COLD_ROOM_RATIO = 0.4;
const SLOW_START_MS = 10_000;

/** Time between removals of reports, in milliseconds. */
const CLEAN_INTERVAL_MS = 30_000;

/** The calls of the store that the keeper uses. */
export type SplitStore = Pick<
  RecordStore,
  "era" | "get" | "put" | "list" | "remove"
>;

/** Parts of the gateway that the keeper uses. */
export interface SplitKeeperOptions {
  readonly self: Member;
  readonly members: MemberTable;
  readonly engineTable: EngineTable;
  readonly adoption: SplitAdoption;
  readonly routeTable: () => RouteTable | undefined;
  readonly regionOf: (zone: string) => string | undefined;
  readonly isEvacuated: (zone: string) => boolean;
  /** Whether this instance writes on behalf of all. */
  readonly isWriter: () => boolean;
  readonly log: EventLog;
}

/** A pool of engines among which the streams of some callers choose. */
interface Pool {
  readonly service: string;
  readonly homes: HomeRegions;
}

/** The room of an engine that joined `listedMs` ago: how many requests it runs,
 * fewer after its start. */
function roomOf({ slots, coldMs = 0 }: Engine, listedMs: number): number {
  const progress = coldMs > 0 ? 0 : Math.min(1, listedMs / SLOW_START_MS);
  return slots * (COLD_ROOM_RATIO + (1 - COLD_ROOM_RATIO) * progress);
}

/** The name of a process's report. */
export function reportNameOf({ name, incarnation }: Member): string {
  return `${name}.${incarnation}`;
}

/** Keeps the splits in line with the engines. */
export class SplitKeeper {
  readonly #store: SplitStore;
  readonly #options: SplitKeeperOptions;
  readonly #startedAt = performance.now();
  /** When processes with a report were first found to have ended. */
  readonly #endedAt = new Map<string, number>();
  #pools: ReadonlyMap<string, Pool> = new Map();
  #poolsOf: Configuration | undefined;
  #checkedAt = -Infinity;
  #cleanedAt: number;
  #isBusy = false;

  constructor(store: SplitStore, options: SplitKeeperOptions) {
    this.#store = store;
    this.#options = options;
    this.#cleanedAt = this.#startedAt;
  }

  /** Writes the splits if this instance is the writer and they must change. */
  async check(now: number): Promise<void> {
    if (this.#isBusy || now - this.#startedAt < SETTLE_MS) return;
    if (now - this.#checkedAt < CHECK_INTERVAL_MS) return;
    this.#checkedAt = now;
    if (!this.#options.isWriter()) return;
    this.#isBusy = true;
    try {
      await this.#update();
      if (now - this.#cleanedAt > CLEAN_INTERVAL_MS) {
        this.#cleanedAt = now;
        await this.#removeReports(now);
      }
    } catch (err) {
      const event = err instanceof StoreCallError
        ? events.SPLITS_NOT_STORED
        : events.UNEXPECTED_ERROR;
      this.#options.log.write(event, { error: String(err) });
    } finally {
      this.#isBusy = false;
    }
  }

  async #update(): Promise<void> {
    const { adoption, log } = this.#options;
    const { known } = adoption;
    const planned = planSplits(known, this.#rooms(), Date.now()) ??
      (adoption.mustWriteAgain ? known : undefined);
    if (planned === undefined) return;
    // What another writer has written meanwhile counts.
    const current = await this.#store.get("assignment", SPLITS_RECORD_NAME);
    adoption.setRecord(current);
    if (adoption.known.number !== known.number) return;
    if (adoption.mayHaveLostSplits && !adoption.mustWriteAgain) return;
    const record = await this.#store.put("assignment", {
      name: SPLITS_RECORD_NAME,
      value: { ...planned, era: this.#store.era ?? FIRST_ERA },
      revision: current?.revision,
    });
    log.write(events.SPLITS_WRITTEN, {
      number: planned.number,
      pools: Object.fromEntries(
        Object.entries(planned.pools).map((
          [pool, splits],
        ) => [pool, splits[0]?.ranges]),
      ),
    });
    adoption.setRecord(record);
  }

  /** The room of each version's engines, by pool. */
  #rooms(): ReadonlyMap<string, RoomByVersion> {
    const { engineTable, regionOf, isEvacuated } = this.#options;
    const context = { regionOf, isEvacuated };
    const now = performance.now();
    const rooms = new Map<string, RoomByVersion>();
    for (const [name, { service, homes }] of this.#currentPools()) {
      const room = new Map<string, number>();
      for (const view of engineTable.ofService(service)) {
        const { softwareVersion, leaving } = view.engine;
        if (softwareVersion === undefined || leaving) continue;
        if (!isPermitted(view, { homes }, context)) continue;
        const former = room.get(softwareVersion) ?? 0;
        const listedMs = now - view.listedAt;
        room.set(softwareVersion, former + roomOf(view.engine, listedMs));
      }
      if (room.size > 0) rooms.set(name, room);
    }
    return rooms;
  }

  /** The pools whose streams may be resumed. */
  #currentPools(): ReadonlyMap<string, Pool> {
    const table = this.#options.routeTable();
    if (table === undefined || table.configuration === this.#poolsOf) {
      return this.#pools;
    }
    const { routes, workspaces } = table.configuration;
    const pools = new Map<string, Pool>();
    for (const route of routes) {
      if (route.kind !== "stream" || !route.resumable) continue;
      const bindings = new Map(
        [undefined, ...workspaces].map((workspace) => {
          const homes = table.homeRegionsOf(route, workspace);
          return [poolOf("", homes), homes];
        }),
      );
      for (const { service } of route.services) {
        for (const homes of bindings.values()) {
          pools.set(poolOf(service, homes), { service, homes });
        }
      }
    }
    this.#pools = pools;
    this.#poolsOf = table.configuration;
    return pools;
  }

  /** Removes the reports of processes that ended so long ago that nobody takes up
   * their streams any more. */
  async #removeReports(now: number): Promise<void> {
    const { self, members } = this.#options;
    const running = new Set(
      [
        self,
        ...members.list().filter((m) => members.isAlive(m.name, now)),
      ].map(reportNameOf),
    );
    const { records } = await this.#store.list("streams");
    for (const record of records) {
      if (running.has(record.name)) {
        this.#endedAt.delete(record.name);
        continue;
      }
      const endedAt = this.#endedAt.get(record.name) ?? now;
      this.#endedAt.set(record.name, endedAt);
      const report = decodeReport(record.value, this.#store.era ?? FIRST_ERA);
      const isOver = now - endedAt > TAKE_UP_MAX_MS ||
        Date.now() > takeUpsEndAt(report);
      if (!isOver) continue;
      await this.#store.remove("streams", record);
      this.#endedAt.delete(record.name);
    }
  }
}
