/** A process of callers. It sends each request at its planned time, without
 * waiting for the responses to earlier requests. Arguments: the file with the
 * job, and the file for the report.
 *
 * @module
 */
import { monotonicMs } from "@banyanlb/standins";
import { readFile, writeFile } from "node:fs/promises";
import { Caller } from "../harness/caller.ts";
import { createRandom } from "../harness/random.ts";
import type { LoadJob, LoadReport, LoadResult } from "./load_job.ts";
import type { Arrival } from "./workload.ts";

const CHAT = "/v1/chat/completions";
const ROUND_DIGITS = 2;
const US_PER_MS = 1_000;

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function roundMs(ms: number): number {
  return Number(ms.toFixed(ROUND_DIGITS));
}

function countTokens(body: string): number {
  return body.split('"content":').length - 1;
}

async function sendRequest(
  caller: Caller,
  arrival: Arrival,
  job: LoadJob,
): Promise<LoadResult> {
  const due_ms = job.start_mono_ms + arrival.at_ms;
  const key = job.keys[arrival.workspace] ?? "";
  const url = job.only_url ??
    await caller.pick(key).catch(() => job.seeds[0] ?? "");
  const sent_mono_ms = monotonicMs();
  const common = {
    id: arrival.id,
    sent_mono_ms,
    lag_ms: sent_mono_ms - due_ms,
  };
  try {
    const options = {
      path: CHAT,
      key,
      timeout_ms: job.timeout_ms,
      body: {
        model: arrival.route,
        messages: [{ role: "user", content: arrival.prompt }],
        max_tokens: arrival.max_tokens,
        stream: true,
      },
    };
    const result = job.repeats
      ? await caller.callUntilServed(options)
      : await caller.call({ ...options, url });
    const token_times_ms = result.token_times_ms;
    return {
      ...common,
      status: result.status,
      whole: result.whole,
      error_type: result.error_type,
      request_id: String(result.headers["x-request-id"] ?? ""),
      instance: result.url,
      first_token_ms: roundMs(result.first_byte_ms),
      total_ms: roundMs(result.total_ms),
      gaps_ms: token_times_ms.slice(1).map((at, i) =>
        roundMs(at - token_times_ms[i]!)
      ),
      tokens: countTokens(result.body),
    };
  } catch (cause) {
    return {
      ...common,
      status: 0,
      whole: false,
      error_type: cause instanceof Error ? cause.name : String(cause),
      request_id: "",
      instance: url,
      first_token_ms: 0,
      total_ms: monotonicMs() - sent_mono_ms,
      gaps_ms: [],
      tokens: 0,
    };
  }
}

async function prefetchSteering(caller: Caller, job: LoadJob): Promise<void> {
  const keys = new Set(job.arrivals.map((a) => job.keys[a.workspace] ?? ""));
  await Promise.all([...keys].map((key) => caller.pick(key).catch(() => "")));
}

async function runJob(job: LoadJob): Promise<LoadReport> {
  const caller = new Caller({
    seeds: job.seeds,
    region: job.region,
    random: createRandom(job.seed),
    local_address: job.local_address,
  });
  await prefetchSteering(caller, job);
  const cpu_before = process.cpuUsage();
  const started_ms = monotonicMs();
  const pending_results: Promise<LoadResult>[] = [];
  for (const arrival of job.arrivals) {
    const wait_ms = job.start_mono_ms + arrival.at_ms - monotonicMs();
    if (wait_ms > 0) await sleep(wait_ms);
    pending_results.push(sendRequest(caller, arrival, job));
  }
  const results = await Promise.all(pending_results);
  const cpu_used = process.cpuUsage(cpu_before);
  await caller.close();
  const cpu_ms = (cpu_used.user + cpu_used.system) / US_PER_MS;
  return { results, cpu_share: cpu_ms / (monotonicMs() - started_ms) };
}

const [, , job_file = "", report_file = ""] = process.argv;
const job = JSON.parse(await readFile(job_file, "utf8")) as LoadJob;
await writeFile(report_file, JSON.stringify(await runJob(job)));
