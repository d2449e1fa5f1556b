/** Measures the latency that an instance adds to a request, and the processor
 * time that an instance spends on relaying.
 *
 * Instances, engines and callers are processes on loopback without the
 * network's stand-in. The first token is timed for calls that go alternately to
 * an instance and directly to the target; the instance requests a permit from
 * the instance that owns the target. Relay throughput is the number of tokens
 * that reached the callers divided by the processor time of the relaying
 * instance. This time includes all other work of the instance, because a new
 * request follows each stream that ends.
 *
 * @module
 */
import type { ConfigObject } from "@banyanlb/core";
import { monotonicMs } from "@banyanlb/standins";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Caller } from "../harness/caller.ts";
import { Cluster } from "../harness/cluster.ts";
import { createRandom } from "../harness/random.ts";
import { processorSeconds, residentMegabytes } from "./process_usage.ts";
import { runScript } from "./run_script.ts";
import { checkTargets, formatNumber, RELAY_TARGETS } from "./stated_targets.ts";
import { computeSpread, quantile, sum } from "./stats.ts";
import type { StreamJob, StreamReport } from "./stream_job.ts";

const WORKSPACE = "large-buyer";
const RATE_TOKENS_PER_S = 10_000_000;
const MAX_RUNNING = 400;
const INSTANCES = 3;
const ADAPTERS = 16;
const MODELS = 6;
const TARGETS_PER_POOL = 3;
const STREAMS = 1_000;
const STREAM_PROCESSES = 2;
const STREAM_TOKENS = 256;
const STREAM_STEP_MS = 100;
const RAMP_MS = 8_000;
const CALLS = 600;
const QUICK_CALLS = 150;
const WARM_UP_CALLS = 20;
const THROUGHPUT_MS = 20_000;
const QUICK_THROUGHPUT_MS = 8_000;
const CALL_TOKENS = 2;
const SEED = 1;
const CHAT = "/v1/chat/completions";

/** Measures of the relay by name. */
export type RelayMeasures = Readonly<Record<string, number>>;

function raiseLimits(
  objects: readonly ConfigObject[],
): readonly ConfigObject[] {
  return objects.map((object) => {
    if (object.kind === "target") {
      return { ...object, max_running: MAX_RUNNING };
    }
    if (object.kind !== "workspace") return object;
    return {
      ...object,
      rate_tokens_per_s: RATE_TOKENS_PER_S,
      burst_tokens: RATE_TOKENS_PER_S,
    };
  });
}

function startCluster(engine_args: readonly string[]): Promise<Cluster> {
  return Cluster.start({
    deployment: "kim_quy",
    instances: INSTANCES,
    adapters: ADAPTERS,
    targets_per_pool: TARGETS_PER_POOL,
    without_network: true,
    max_running: MAX_RUNNING,
    engine_args,
    editObjects: raiseLimits,
    settings: { log_level: "error" },
  });
}

function measuredRoutes(cluster: Cluster) {
  return cluster.objects.routes
    .filter((route) => route.workspace === WORKSPACE)
    .slice(0, MODELS);
}

function chatBody(model: string, content: string) {
  const messages = [{ role: "user", content }];
  return { model, messages, max_tokens: CALL_TOKENS, stream: true };
}

/** Times the first token of calls that alternate between an instance and the
 * target itself. */
async function timeFirstTokens(
  cluster: Cluster,
  calls: number,
): Promise<RelayMeasures> {
  const caller = new Caller({
    seeds: cluster.seeds,
    random: createRandom(SEED),
  });
  const key = cluster.keyOf(WORKSPACE);
  const [route] = measuredRoutes(cluster);
  if (route === undefined) throw new Error("no route");
  const relayed_ms: number[] = [];
  const direct_ms: number[] = [];
  const target = await findTarget(cluster, caller);
  for (let i = 0; i < calls + WARM_UP_CALLS; i++) {
    const url = cluster.seeds[i % cluster.seeds.length] ?? "";
    const body = chatBody(route.route, `call ${i}`);
    const relayed_result = await caller.call({ url, path: CHAT, key, body });
    const direct_result = await caller.call({
      url: target,
      path: CHAT,
      body: chatBody(route.version, `call ${i}`),
    });
    if (relayed_result.status !== 200 || direct_result.status !== 200) {
      throw new Error(
        `calls ended with ${relayed_result.status}, ${direct_result.status}`,
      );
    }
    if (i < WARM_UP_CALLS) continue;
    relayed_ms.push(relayed_result.first_byte_ms);
    direct_ms.push(direct_result.first_byte_ms);
  }
  await caller.close();
  return compareTimes(relayed_ms, direct_ms);
}

function compareTimes(
  relayed_ms: readonly number[],
  direct_ms: readonly number[],
): RelayMeasures {
  const addedMs = (q: number) =>
    quantile(relayed_ms, q) - quantile(direct_ms, q);
  return {
    "direct first token p50 ms": quantile(direct_ms, 0.5),
    "direct first token p99 ms": quantile(direct_ms, 0.99),
    "first token p50 ms": quantile(relayed_ms, 0.5),
    "first token p99 ms": quantile(relayed_ms, 0.99),
    "added to first token p50 ms": addedMs(0.5),
    "added to first token p99 ms": addedMs(0.99),
  };
}

/** Sends one request and returns the URL of the target that loaded its
 * adapter. */
async function findTarget(cluster: Cluster, caller: Caller): Promise<string> {
  const [route] = measuredRoutes(cluster);
  const key = cluster.keyOf(WORKSPACE);
  const body = chatBody(route?.route ?? "", "first");
  await caller.callUntilServed({ path: CHAT, key, body });
  for (const { control, planned } of cluster.targets) {
    if (planned.pool.type !== "engine") continue;
    const record = await control.record<{ readonly loaded: string[] }>();
    if (record.loaded.includes(route?.version ?? "")) return control.url;
  }
  throw new Error("no target has the adapter");
}

/** Measures the throughput, processor time and memory of one instance while it
 * relays many open streams. */
async function measureThroughput(
  cluster: Cluster,
  duration_ms: number,
): Promise<RelayMeasures> {
  const instance = cluster.instances[0];
  const pid = instance?.process?.pid ?? 0;
  const before_mb = await residentMegabytes(pid);
  const from_mono_ms = monotonicMs() + RAMP_MS;
  const job: StreamJob = {
    url: instance?.caller_url ?? "",
    key: cluster.keyOf(WORKSPACE),
    models: measuredRoutes(cluster).map((route) => route.route),
    streams: STREAMS / STREAM_PROCESSES,
    max_tokens: STREAM_TOKENS,
    from_mono_ms,
    until_mono_ms: from_mono_ms + duration_ms,
  };
  const pending_reports = runStreams(job);
  await sleepUntil(job.from_mono_ms);
  const cpu_before_s = await processorSeconds(pid);
  const start_mb = await residentMegabytes(pid);
  await sleepUntil(job.until_mono_ms);
  const used_s = await processorSeconds(pid) - cpu_before_s;
  const end_mb = await residentMegabytes(pid);
  const reports = await pending_reports;
  const tokens = sum(reports.map((report) => report.tokens));
  return {
    "streams open": sum(reports.map((report) => report.open)),
    "requests": sum(reports.map((report) => report.requests)),
    "failed requests": sum(reports.map((report) => report.failed)),
    "tokens a second": tokens * 1_000 / duration_ms,
    "processor share": used_s * 1_000 / duration_ms,
    "tokens a second per core": tokens / used_s,
    "memory before MB": before_mb,
    "memory with streams MB": start_mb,
    "memory at the end MB": end_mb,
  };
}

async function sleepUntil(mono_ms: number): Promise<void> {
  const wait_ms = Math.max(0, mono_ms - monotonicMs());
  await new Promise((resolve) => setTimeout(resolve, wait_ms));
}

async function runStreams(job: StreamJob): Promise<readonly StreamReport[]> {
  const directory = await mkdtemp(join(tmpdir(), "banyanlb-relay-"));
  const job_file = join(directory, "job.json");
  await writeFile(job_file, JSON.stringify(job));
  const limit_ms = job.until_mono_ms - monotonicMs() + RAMP_MS;
  const indexes = Array.from({ length: STREAM_PROCESSES }, (_, i) => i);
  try {
    return await Promise.all(indexes.map(async (index) => {
      const file = join(directory, `report-${index}.json`);
      await runScript("./stream_process.js", {
        args: [job_file, file],
        limit_ms,
      });
      return JSON.parse(await readFile(file, "utf8")) as StreamReport;
    }));
  } finally {
    await rm(directory, { recursive: true, force: true });
  }
}

/** Measures the relay and prints the figures. */
export async function measureRelay(
  options: { readonly quick: boolean },
): Promise<RelayMeasures> {
  const calls = options.quick ? QUICK_CALLS : CALLS;
  const throughput_ms = options.quick ? QUICK_THROUGHPUT_MS : THROUGHPUT_MS;
  const times = await withCluster(
    ["--step-ms", "1", "--prefill-ms-per-token", "0"],
    (cluster) => timeFirstTokens(cluster, calls),
  );
  const relayed = await withCluster(
    ["--step-ms", String(STREAM_STEP_MS), "--step-ms-per-request", "0"],
    (cluster) => measureThroughput(cluster, throughput_ms),
  );
  const measures = { ...times, ...relayed };
  console.log("\nrelay");
  for (const [name, value] of Object.entries(measures)) {
    console.log(`${name}: ${formatNumber(value)}`);
  }
  const spreads = Object.fromEntries(
    Object.entries(measures).map((
      [name, value],
    ) => [name, computeSpread([value])]),
  );
  for (const line of checkTargets(RELAY_TARGETS, spreads)) console.log(line);
  return measures;
}

async function withCluster(
  engine_args: readonly string[],
  measure: (cluster: Cluster) => Promise<RelayMeasures>,
): Promise<RelayMeasures> {
  const cluster = await startCluster(engine_args);
  try {
    return await measure(cluster);
  } finally {
    await cluster.close();
  }
}
