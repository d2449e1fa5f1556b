/** Slopes of a daemon's start by size of the published set, with the set
 * fetched from the store and from a peer.
 *
 * @module
 */
import { EventLog, NoopMetrics, SystemClock } from "@banyanlb/core";
import { HttpObjectStore } from "@banyanlb/clients";
import {
  ConfigFollower,
  ConfigPeers,
  type PeerError,
  Publisher,
} from "@banyanlb/published";
import { errAsync } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil } from "../harness/cluster.ts";
import { ADAPTER_SIZES, IDLE_WINDOW_MS, MS_PER_S } from "./constants.ts";
import { DaemonFleet } from "./daemon_fleet.ts";
import type { StoreCounts } from "./fleet_usage.ts";
import { cpuSeconds, peakResidentBytes, residentBytes } from "./proc_stat.ts";
import { fitSlope, type Slope } from "./slope.ts";
import { baseObjects, buildObjects } from "./synthetic.ts";

/** Index of a daemon in the same region as daemon 0. */
const SAME_REGION_INDEX = 5;
const SETTLE_MS = 5_000;
const FIRST_GENERATION = 1;
const UNLIMITED_STORE = { reads_per_s: 0, writes_per_s: 0 };
const STORE_LIMITS = { reads_per_s: 2_000, writes_per_s: 400 };

/** Duration and resource usage of one start. */
export interface StartFigures {
  readonly serving_ms: number;
  readonly cpu_s: number;
  readonly resident_bytes: number;
  readonly peak_bytes: number;
  /** Processor time of the daemon when idle after its start, as a ratio of a
   * core. */
  readonly idle_core: number;
}

/** Figures of two starts with a published set of one size: one from the store,
 * one from a peer. */
export interface StartPairFigures {
  readonly adapters: number;
  readonly from_store: StartFigures;
  readonly from_peer: StartFigures;
  /** Store calls during the start from the store. */
  readonly store: StoreCounts;
  /** Processor time of the peer during the start from the peer, in seconds. */
  readonly peer_cpu_s: number;
}

class UnreachablePeers extends ConfigPeers {
  override evidence() {
    return errAsync<never, PeerError>(PEER_UNREACHABLE);
  }

  override fetch() {
    return errAsync<never, PeerError>(PEER_UNREACHABLE);
  }
}

const PEER_UNREACHABLE: PeerError = {
  kind: "unreachable",
  message: "no peers",
};

function noopLog(): EventLog {
  const ignore = () => {};
  const logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };
  return new EventLog(
    logger as unknown as ConstructorParameters<typeof EventLog>[0],
  );
}

/** Publishes `adapters` adapters to a store. Throws if that fails. */
export async function publishAdapters(
  store_url: string,
  adapters: number,
): Promise<void> {
  const store = new HttpObjectStore(store_url);
  const metrics = new NoopMetrics();
  const deps = { store, clock: new SystemClock(), log: noopLog(), metrics };
  const follower = new ConfigFollower({
    ...deps,
    peers: new UnreachablePeers(),
  });
  const publisher = new Publisher({ ...deps, follower });
  follower.start();
  await waitUntil(() => follower.current() !== undefined, { what: "follower" });
  const objects = [...baseObjects(), ...buildObjects("adapter", adapters)];
  const put = objects.map((object) => ({ object, base: null }));
  const published = await publisher.publish({ put, remove: [] });
  await publisher.close();
  await follower.close();
  await store.close();
  if (published.isErr()) throw new Error(published.error.message);
}

async function measureStart(
  fleet: DaemonFleet,
  index: number,
): Promise<StartFigures> {
  const start = performance.now();
  const { pid } = await fleet.startDaemon(index);
  await fleet.waitUntilServing(index, FIRST_GENERATION);
  const serving_ms = performance.now() - start;
  const cpu_s = cpuSeconds(pid);
  await sleep(SETTLE_MS);
  const idle_before_s = cpuSeconds(pid);
  await sleep(IDLE_WINDOW_MS);
  return {
    serving_ms,
    cpu_s,
    resident_bytes: residentBytes(pid),
    peak_bytes: peakResidentBytes(pid),
    idle_core: (cpuSeconds(pid) - idle_before_s) / (IDLE_WINDOW_MS / MS_PER_S),
  };
}

/** Starts two daemons with a published set of one size: the first fetches it
 * from the store, the second from the first daemon. */
export async function measureStartPair(
  adapters: number,
  daemon_env: Readonly<Record<string, string>> = {},
): Promise<StartPairFigures> {
  const fleet = await DaemonFleet.start({
    daemons: 0,
    daemon_env,
    prepare: (store_url) => publishAdapters(store_url, adapters),
    store_limits: UNLIMITED_STORE,
  });
  try {
    await fleet.store.setFaults(STORE_LIMITS);
    let from_store: StartFigures | undefined;
    const usage = await fleet.measure(async () => {
      from_store = await measureStart(fleet, 0);
    });
    const peer_pid = fleet.daemon(0).pid;
    const peer_before_s = cpuSeconds(peer_pid);
    const from_peer = await measureStart(fleet, SAME_REGION_INDEX);
    const peer_cpu_s = cpuSeconds(peer_pid) - peer_before_s;
    if (from_store === undefined) throw new Error("the start did not end");
    return { adapters, from_store, from_peer, store: usage.store, peer_cpu_s };
  } finally {
    await fleet.close();
  }
}

/** Measures starts with published sets of all sizes. */
export async function measureStarts(): Promise<readonly StartPairFigures[]> {
  const rows: StartPairFigures[] = [];
  for (const adapters of ADAPTER_SIZES) {
    rows.push(await measureStartPair(adapters));
  }
  return rows;
}

interface StartSlopeDefinition {
  readonly name: string;
  readonly what: string;
  readonly unit: string;
  readonly read: (figures: StartPairFigures) => number;
}

const START_SLOPES: readonly StartSlopeDefinition[] = [
  {
    name: "start_store",
    what: "time from the process's start until it serves, from the store",
    unit: "ms",
    read: ({ from_store }) => from_store.serving_ms,
  },
  {
    name: "start_peer",
    what: "time from the process's start until it serves, from a peer",
    unit: "ms",
    read: ({ from_peer }) => from_peer.serving_ms,
  },
  {
    name: "start_store_cpu",
    what: "processor time of a start from the store",
    unit: "s",
    read: ({ from_store }) => from_store.cpu_s,
  },
  {
    name: "start_peer_cpu",
    what: "processor time of a start from a peer",
    unit: "s",
    read: ({ from_peer }) => from_peer.cpu_s,
  },
  {
    name: "serve_start_cpu",
    what: "processor time of the peer that served a start, idle included",
    unit: "s",
    read: ({ peer_cpu_s }) => peer_cpu_s,
  },
  {
    name: "resident_store",
    what: "resident memory of a daemon that started from the store",
    unit: "B",
    read: ({ from_store }) => from_store.resident_bytes,
  },
  {
    name: "resident_peer",
    what: "resident memory of a daemon that started from a peer",
    unit: "B",
    read: ({ from_peer }) => from_peer.resident_bytes,
  },
  {
    name: "peak_store",
    what: "peak resident memory of a daemon that started from the store",
    unit: "B",
    read: ({ from_store }) => from_store.peak_bytes,
  },
  {
    name: "start_part_reads",
    what: "reads of parts of a start from the store",
    unit: "calls",
    read: ({ store }) => store["part get"]?.calls ?? 0,
  },
  {
    name: "start_bytes",
    what: "bytes of parts of a start from the store, headers included",
    unit: "B",
    read: ({ store }) => store["part get"]?.bytes_out ?? 0,
  },
];

/** Fits all slopes to the figures of published sets of several sizes. */
export function startSlopes(
  rows: readonly StartPairFigures[],
): readonly Slope[] {
  return START_SLOPES.map(({ read, ...slope }) =>
    fitSlope({
      ...slope,
      per: "adapters",
      points: rows.map((figures) => ({
        x: figures.adapters,
        y: read(figures),
      })),
    })
  );
}
