/** Runs one policy once: starts a cluster and its callers and collects the
 * records.
 *
 * @module
 */
import type { ConfigObject } from "@banyanlb/core";
import {
  type DeploymentName,
  type EngineRecord,
  type LoadRecord,
  monotonicMs,
  type PairTraffic,
} from "@banyanlb/standins";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Cluster } from "../harness/cluster.ts";
import {
  BYTES_PER_TOKEN,
  DRAIN_LIMIT_MS,
  NORMAL_PHASE_SHARE,
  REQUEST_TIMEOUT_MS,
  START_DELAY_MS,
  WARM_UP_MS,
} from "./constants.ts";
import type { LoadJob, LoadReport, LoadResult } from "./load_job.ts";
import { runScript } from "./run_script.ts";
import type { Variant } from "./variants.ts";
import { type Arrival, makeArrivals } from "./workload.ts";

/** Condition of a run. `one_instance`: every request goes to the same instance.
 * `instance_lost`: an instance is killed, and `store_out`: the store refuses
 * requests, both from the middle of the normal phase on. */
export type Condition = "one_instance" | "instance_lost" | "store_out";

/** Options of a run. */
export interface RunOptions {
  readonly deployment: DeploymentName;
  readonly variant: Variant;
  readonly seed: number;
  /** Length of the run without its warm-up. */
  readonly duration_ms: number;
  readonly condition?: Condition;
}

/** The records of one run. Times are in monotonic milliseconds; `flood_at_ms`
 * and `duration_ms` count from the start of the run. */
export interface RunRecord {
  readonly cluster: Cluster;
  readonly arrivals: readonly Arrival[];
  readonly start_mono_ms: number;
  readonly flood_at_ms: number;
  readonly duration_ms: number;
  readonly results: ReadonlyMap<number, LoadResult>;
  readonly engines: ReadonlyMap<string, EngineRecord>;
  /** Engines' records at the end of the warm-up. */
  readonly engines_after_warm_up: ReadonlyMap<string, EngineRecord>;
  /** Engines' records when the flood starts. */
  readonly engines_at_flood: ReadonlyMap<string, EngineRecord>;
  readonly loads: readonly LoadRecord[];
  readonly traffic: Readonly<Record<string, PairTraffic>>;
  /** Highest share of one core that a process of callers used. */
  readonly callers_cpu: number;
}

/** Sets the bytes per token of every model to those of the engines'
 * stand-ins. */
function setTokenSize(
  objects: readonly ConfigObject[],
): readonly ConfigObject[] {
  return objects.map((object) =>
    object.kind === "model"
      ? { ...object, min_bytes_per_token: BYTES_PER_TOKEN }
      : object
  );
}

/** Runs a policy once. The cluster of the returned record is closed; only its
 * plan can still be read. */
export async function runVariant(options: RunOptions): Promise<RunRecord> {
  const cluster = await Cluster.start({
    deployment: options.deployment,
    settings: { ...options.variant.settings, log_level: "error" },
    editObjects: setTokenSize,
  });
  const directory = await mkdtemp(join(tmpdir(), "banyanlb-bench-"));
  try {
    return await measureCluster(cluster, { ...options, directory });
  } finally {
    await cluster.close();
    await rm(directory, { recursive: true, force: true });
  }
}

async function injectFault(
  cluster: Cluster,
  condition: Condition | undefined,
): Promise<void> {
  if (condition === "instance_lost") {
    await cluster.instances.at(-1)?.process?.kill();
  }
  if (condition === "store_out") {
    await cluster.store.setFaults({ outage: "refuse" });
  }
}

async function sleepUntil(mono_ms: number): Promise<void> {
  const wait_ms = Math.max(0, mono_ms - monotonicMs());
  await new Promise((resolve) => setTimeout(resolve, wait_ms));
}

async function measureCluster(
  cluster: Cluster,
  options: RunOptions & { readonly directory: string },
): Promise<RunRecord> {
  const { seed } = options;
  const duration_ms = WARM_UP_MS + options.duration_ms;
  const flood_at_ms = WARM_UP_MS + options.duration_ms * NORMAL_PHASE_SHARE;
  const arrivals = makeArrivals({
    deployment: cluster.deployment,
    routes: cluster.objects.routes,
    engines: engineTargets(cluster).length,
    seed,
    duration_ms,
    flood_at_ms,
  });
  const traffic_before = await readTraffic(cluster);
  const start_mono_ms = monotonicMs() + START_DELAY_MS;
  const pending_reports = runCallers(cluster, arrivals, {
    ...options,
    start_mono_ms,
  });
  await sleepUntil(start_mono_ms + WARM_UP_MS);
  const engines_after_warm_up = await readEngineRecords(cluster);
  await sleepUntil(start_mono_ms + (WARM_UP_MS + flood_at_ms) / 2);
  await injectFault(cluster, options.condition);
  await sleepUntil(start_mono_ms + flood_at_ms);
  const engines_at_flood = await readEngineRecords(cluster);
  const reports = await pending_reports;
  const results = reports.flatMap((report) => report.results);
  const weights = await cluster.weights.record<
    { readonly loads: readonly LoadRecord[] }
  >();
  return {
    cluster,
    arrivals,
    start_mono_ms,
    flood_at_ms,
    duration_ms,
    results: new Map(results.map((result) => [result.id, result])),
    engines_after_warm_up,
    engines_at_flood,
    engines: await readEngineRecords(cluster),
    loads: weights.loads,
    traffic: subtractTraffic(await readTraffic(cluster), traffic_before),
    callers_cpu: Math.max(...reports.map((report) => report.cpu_share)),
  };
}

/** Targets that are engines. */
export function engineTargets(cluster: Cluster) {
  return cluster.targets.filter((t) => t.planned.pool.type === "engine");
}

async function readEngineRecords(
  cluster: Cluster,
): Promise<ReadonlyMap<string, EngineRecord>> {
  const rows = await Promise.all(
    engineTargets(cluster).map(async ({ name, control }) =>
      [name, await control.record<EngineRecord>()] as const
    ),
  );
  return new Map(rows);
}

type Traffic = Readonly<Record<string, PairTraffic>>;

async function readTraffic(cluster: Cluster): Promise<Traffic> {
  const record = await cluster.network.record<{ readonly traffic: Traffic }>();
  return record.traffic;
}

function subtractTraffic(after: Traffic, before: Traffic): Traffic {
  return Object.fromEntries(
    Object.entries(after).map(([pair, row]) => {
      const bytes_before = before[pair]?.bytes ?? 0;
      return [pair, { ...row, bytes: row.bytes - bytes_before }];
    }),
  );
}

async function runCallers(
  cluster: Cluster,
  arrivals: readonly Arrival[],
  options: RunOptions & {
    readonly directory: string;
    readonly start_mono_ms: number;
  },
): Promise<readonly LoadReport[]> {
  const regions = [...new Set(arrivals.map((arrival) => arrival.region))];
  const keys = Object.fromEntries(
    cluster.objects.keys.map(({ workspace, key }) => [workspace, key]),
  );
  return await Promise.all(regions.map(async (region, index) => {
    const job: LoadJob = {
      seeds: cluster.seeds,
      region,
      local_address: cluster.callerAddressOf(region),
      seed: options.seed + index,
      start_mono_ms: options.start_mono_ms,
      arrivals: arrivals.filter((arrival) => arrival.region === region),
      keys,
      timeout_ms: REQUEST_TIMEOUT_MS,
      repeats: options.condition !== undefined &&
        options.condition !== "one_instance",
      ...(options.condition === "one_instance"
        ? { only_url: cluster.seeds[0] ?? "" }
        : {}),
    };
    const job_file = join(options.directory, `job-${index}.json`);
    const report_file = join(options.directory, `report-${index}.json`);
    await writeFile(job_file, JSON.stringify(job));
    await runScript("./load_process.js", {
      args: [job_file, report_file],
      limit_ms: START_DELAY_MS + WARM_UP_MS + options.duration_ms +
        DRAIN_LIMIT_MS +
        REQUEST_TIMEOUT_MS,
    });
    return JSON.parse(await readFile(report_file, "utf8")) as LoadReport;
  }));
}
