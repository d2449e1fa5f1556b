/** Computes the measures of one run.
 *
 * @module
 */
import {
  type BatchOptions,
  chatPrompt,
  countPromptTokens,
  ENGINE_DEFAULTS,
  expectedTokens,
} from "@banyanlb/standins";
import {
  nominalStepMs,
  simulateSingleQueue,
  type StepSums,
} from "./single_queue.ts";
import { boundColdStarts, type ColdStartBound } from "./cold_start_bound.ts";
import { LoadHistory } from "./load_history.ts";
import {
  BYTES_PER_TOKEN,
  FLOOD_GRACE_MS,
  TOKENS_PER_MESSAGE,
  UNSERVED_SETTLE_MS,
} from "./constants.ts";
import { fairShares } from "./fair_share.ts";
import type { LoadResult } from "./load_job.ts";
import { evaluateRate, type RateEvaluation } from "./rate_evaluation.ts";
import { engineTargets, type RunRecord } from "./run_variant.ts";
import { quantile, sum } from "./stats.ts";
import { type Arrival, floodingWorkspace } from "./workload.ts";

/** Measures by name; each name includes its unit. */
export type Measures = Readonly<Record<string, number>>;

const STATUS_OK = 200;
const MS_PER_S = 1_000;
const BYTES_PER_KB = 1_000;

/** One arrival with the outcome of its request. */
interface Outcome {
  readonly arrival: Arrival;
  readonly result: LoadResult;
  readonly served: boolean;
  readonly prompt_tokens: number;
  readonly output_tokens: number;
  readonly reserved: number;
}

function toOutcome(arrival: Arrival, result: LoadResult): Outcome {
  const messages = [{ role: "user", content: arrival.prompt }];
  const prompt = chatPrompt(messages);
  const { version, max_tokens } = arrival;
  const bytes = Buffer.byteLength(JSON.stringify(messages));
  return {
    arrival,
    result,
    served: result.status === STATUS_OK && result.whole,
    prompt_tokens: countPromptTokens(prompt),
    output_tokens: expectedTokens({ version, prompt, max_tokens }).length,
    reserved: Math.ceil(bytes / BYTES_PER_TOKEN) + TOKENS_PER_MESSAGE +
      max_tokens,
  };
}

function collectOutcomes(run: RunRecord): readonly Outcome[] {
  return run.arrivals.flatMap((arrival) => {
    const result = run.results.get(arrival.id);
    return result === undefined ? [] : [toOutcome(arrival, result)];
  });
}

/** Computes all measures of a run. */
export function measureRun(run: RunRecord): Measures {
  const outcomes = collectOutcomes(run);
  const normal = outcomes.filter((row) => row.arrival.phase === "normal");
  const lags = outcomes.map((row) => row.result.lag_ms);
  return {
    ...measureLatencies(normal),
    ...measureLoads(run, outcomes),
    ...measureEfficiency(run, normal),
    ...measureFlood(run, outcomes),
    ...measureRefusals(run, outcomes),
    "cross-region kB per request": crossRegionBytes(run) / BYTES_PER_KB /
      outcomes.length,
    "requests": outcomes.length,
    "callers' lag p99 ms": quantile(lags, 0.99),
    "callers' processor share": run.callers_cpu,
  };
}

function firstTokenTimes(rows: readonly Outcome[]): readonly number[] {
  // A request that was not served has no first token; it counts as infinite.
  return rows.map((row) => row.served ? row.result.first_token_ms : Infinity);
}

function measureLatencies(normal: readonly Outcome[]): Measures {
  const interactive_outcomes = normal.filter((row) =>
    row.arrival.class === "interactive"
  );
  const batch_outcomes = normal.filter((row) => row.arrival.class === "batch");
  const first_token_ms = firstTokenTimes(interactive_outcomes);
  const gaps_ms = interactive_outcomes.flatMap((row) => row.result.gaps_ms);
  return {
    "first token p50 ms": quantile(first_token_ms, 0.5),
    "first token p95 ms": quantile(first_token_ms, 0.95),
    "first token p99 ms": quantile(first_token_ms, 0.99),
    "batch first token p95 ms": quantile(firstTokenTimes(batch_outcomes), 0.95),
    "between tokens p95 ms": quantile(gaps_ms, 0.95),
  };
}

function loadHistory(run: RunRecord): LoadHistory {
  const load_ends = new Map<string, number[]>();
  for (const load of run.loads) {
    const [adapter, version] = load.path.split("/");
    const name = `${adapter}@${version}`;
    const rows = load_ends.get(name) ?? [];
    rows.push(load.end.mono_ms);
    load_ends.set(name, rows.sort((a, b) => a - b));
  }
  return new LoadHistory(run.engines, load_ends);
}

interface EngineStart {
  readonly target: string;
  readonly started_ms: number;
}

function engineStarts(run: RunRecord): ReadonlyMap<string, EngineStart> {
  const starts = new Map<string, EngineStart>();
  for (const [target, record] of run.engines) {
    for (const request of record.requests) {
      const id = String(request.headers["x-request-id"] ?? "");
      starts.set(id, { target, started_ms: request.start.mono_ms });
    }
  }
  return starts;
}

function measureLoads(run: RunRecord, outcomes: readonly Outcome[]): Measures {
  const history = loadHistory(run);
  const start_by_request = engineStarts(run);
  const uses = outcomes.filter((row) => row.arrival.phase !== "flood");
  const is_counted = uses.map((row) => row.arrival.phase === "normal");
  const stalls = uses.map(({ arrival, result }) => {
    const start = start_by_request.get(result.request_id);
    if (start === undefined) return 0;
    const { target, started_ms } = start;
    return history.stallMs({ target, version: arrival.version }, {
      at_ms: result.sent_mono_ms,
      started_ms,
    });
  }).filter((_, i) => is_counted[i]);
  const bound = computeStallBound(run, uses);
  const bound_ms = sum(bound.stalls_ms.filter((_, i) => is_counted[i]));
  const { loads, evictions } = history;
  return {
    "cold-start stalls s": sum(stalls) / MS_PER_S,
    "bound of stalls s": bound_ms / MS_PER_S,
    "stalls over bound": sum(stalls) / bound_ms,
    "stalled requests": stalls.filter((ms) => ms > 0).length,
    "loads": loads,
    "evictions": evictions,
    "loads before flood": countLoadsBeforeFlood(run),
    "bound of loads before flood": bound.loads,
  };
}

function computeStallBound(
  run: RunRecord,
  uses: readonly Outcome[],
): ColdStartBound {
  const slots = sum(
    engineTargets(run.cluster).map((t) => t.planned.pool.adapter_slots ?? 0),
  );
  const limits = run.cluster.deployment.weights;
  return boundColdStarts(uses.map((row) => row.arrival), { slots, limits });
}

function countLoadsBeforeFlood(run: RunRecord): number {
  const flood_start_ms = run.start_mono_ms + run.flood_at_ms;
  return run.loads.filter((load) => load.start.mono_ms < flood_start_ms).length;
}

function batchOptions(run: RunRecord): BatchOptions {
  const pool = engineTargets(run.cluster)[0]?.planned.pool;
  const max_running = pool?.max_running ?? ENGINE_DEFAULTS.batch.max_running;
  return { ...ENGINE_DEFAULTS.batch, max_running };
}

function sumSteps(
  engines: RunRecord["engines"],
  batch: BatchOptions,
): StepSums {
  const records = [...engines.values()];
  return {
    step_ms: sum(records.map((row) => nominalStepMs(row.batch, batch))),
    tokens: sum(
      records.flatMap((record) => record.requests.map((req) => req.tokens)),
    ),
  };
}

function measureEfficiency(
  run: RunRecord,
  normal: readonly Outcome[],
): Measures {
  const batch = batchOptions(run);
  const sums_at_flood = sumSteps(run.engines_at_flood, batch);
  const sums_after_warm_up = sumSteps(run.engines_after_warm_up, batch);
  const step_ms = sums_at_flood.step_ms - sums_after_warm_up.step_ms;
  const tokens = sums_at_flood.tokens - sums_after_warm_up.tokens;
  const requests = normal.filter((row) => row.served).map((row) => ({
    at_ms: row.arrival.at_ms,
    version: row.arrival.version,
    class: row.arrival.class,
    prompt_tokens: row.prompt_tokens,
    output_tokens: row.output_tokens,
  }));
  const engines = engineTargets(run.cluster);
  const reference = simulateSingleQueue(requests, {
    engines: engines.length,
    adapter_slots: engines[0]?.planned.pool.adapter_slots ?? 0,
    batch,
    limits: run.cluster.deployment.weights,
  });
  const tokens_per_ms = tokens / step_ms;
  const reference_tokens_per_ms = reference.tokens / reference.step_ms;
  return {
    "tokens per step second": tokens_per_ms * MS_PER_S,
    "single queue tokens per step second": reference_tokens_per_ms * MS_PER_S,
    "batch efficiency": tokens_per_ms / reference_tokens_per_ms,
  };
}

function measureFlood(run: RunRecord, outcomes: readonly Outcome[]): Measures {
  const flood = outcomes.filter((row) => row.arrival.phase === "flood");
  const flooding = floodingWorkspace(run.cluster.deployment);
  const batch = batchOptions(run);
  const full_step_ms = batch.step_ms +
    batch.max_running * batch.step_ms_per_request +
    8 * batch.step_ms_per_adapter;
  const window_ms = run.duration_ms - run.flood_at_ms;
  const engines = engineTargets(run.cluster).length;
  const capacity_tokens = engines * batch.max_running * window_ms /
    full_step_ms;
  const shares = fairShares(workspaceDemands(run, flood), capacity_tokens);
  const until_ms = run.start_mono_ms + run.duration_ms + FLOOD_GRACE_MS;
  const ratios = [...shares].filter(([name]) => name !== flooding)
    .map(([name, share]) => servedTokens(flood, { name, until_ms }) / share);
  const others = flood.filter((row) => row.arrival.workspace !== flooding);
  return {
    "worst workspace's part of its fair share": Math.min(...ratios),
    "others' first token p95 in flood ms": quantile(
      firstTokenTimes(others),
      0.95,
    ),
  };
}

function workspaceDemands(run: RunRecord, flood: readonly Outcome[]) {
  const window_s = (run.duration_ms - run.flood_at_ms) / MS_PER_S;
  return run.cluster.deployment.workspaces.map((workspace) => {
    const rows = flood.filter((r) => r.arrival.workspace === workspace.name);
    const output_tokens = sum(rows.map((row) => row.output_tokens));
    const total_tokens = output_tokens +
      sum(rows.map((row) => row.prompt_tokens));
    const allowed_tokens = workspace.rate_tokens_per_s * window_s +
      workspace.burst_tokens;
    const admitted_share = Math.min(
      1,
      allowed_tokens / Math.max(1, total_tokens),
    );
    return { name: workspace.name, tokens: output_tokens * admitted_share };
  });
}

function servedTokens(
  rows: readonly Outcome[],
  options: { readonly name: string; readonly until_ms: number },
): number {
  return sum(
    rows.filter((row) => row.arrival.workspace === options.name)
      .filter(({ served, result }) =>
        served && result.sent_mono_ms + result.total_ms <= options.until_ms
      )
      .map((row) => row.output_tokens),
  );
}

/** Evaluates the refusals of each workspace. */
export function evaluateWorkspaces(run: RunRecord): readonly RateEvaluation[] {
  return evaluateOutcomes(run, collectOutcomes(run));
}

function evaluateOutcomes(
  run: RunRecord,
  outcomes: readonly Outcome[],
): readonly RateEvaluation[] {
  return run.cluster.deployment.workspaces.map((workspace) => {
    const rows = outcomes.filter((row) =>
      row.arrival.workspace === workspace.name
    );
    return evaluateRate(
      workspace,
      rows.map((row) => ({
        workspace: workspace.name,
        at_ms: row.result.sent_mono_ms,
        reserved: row.reserved,
        used: row.prompt_tokens + row.output_tokens,
        refund_at_ms: row.result.sent_mono_ms +
          (row.served ? row.result.total_ms : UNSERVED_SETTLE_MS),
        refused: !row.served,
      })),
    );
  });
}

function measureRefusals(
  run: RunRecord,
  outcomes: readonly Outcome[],
): Measures {
  const evaluations = evaluateOutcomes(run, outcomes);
  const flooding = floodingWorkspace(run.cluster.deployment);
  const within_rate = evaluations.filter((row) => row.workspace !== flooding);
  const over_rate = evaluations.filter((row) => row.workspace === flooding);
  const refused = sum(over_rate.map((row) => row.refused));
  const refused_centrally = sum(over_rate.map((row) => row.refused_centrally));
  return {
    "refused inside the rate": sum(
      within_rate.map((row) => row.wrongly_refused),
    ),
    "refused inside the rate per 1000": MS_PER_S *
      sum(within_rate.map((row) => row.wrongly_refused)) /
      sum(within_rate.map((row) => row.requests)),
    "flooding workspace refused": refused,
    "flooding workspace refused by one bucket": refused_centrally,
  };
}

function crossRegionBytes(run: RunRecord): number {
  const { cluster } = run;
  const { deployment } = cluster;
  const region_of = new Map<string, string>([
    ...deployment.domains.map((d) => [d.name, d.region] as const),
    ...cluster.instances.map((i) => [i.name, i.placed.region] as const),
    ...cluster.targets.map((t) => [t.name, t.planned.region] as const),
  ]);
  const store_region = region_of.get(deployment.store_domain);
  const regionOf = (name: string) => region_of.get(name) ?? store_region;
  return sum(
    Object.entries(run.traffic).map(([pair, row]) => {
      const [from = "", to = ""] = pair.split(">");
      return regionOf(from) === regionOf(to) ? 0 : row.bytes;
    }),
  );
}

/** Counts the requests that were not served, by workspace group, status and
 * error type. */
export function countErrors(run: RunRecord): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const row of collectOutcomes(run)) {
    if (row.served) continue;
    const { status, error_type = "broken" } = row.result;
    const flooding = floodingWorkspace(run.cluster.deployment);
    const group = row.arrival.workspace === flooding ? "flooding" : "inside";
    const key = `${group} ${status} ${error_type}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}
