/** Compares routing policies under the same arrivals.
 *
 * @module
 */
import type { DeploymentName } from "@banyanlb/standins";
import { countErrors, measureRun, type Measures } from "./measures.ts";
import { LAST_RECORDED, type RecordedResults } from "./recorded.ts";
import { runVariant } from "./run_variant.ts";
import {
  checkTargets,
  formatNumber,
  POLICY_TARGETS,
} from "./stated_targets.ts";
import { computeSpread, type Spread } from "./stats.ts";
import { type Chart, drawCharts } from "./svg.ts";
import { formatTable } from "./table.ts";
import { THIS_VERSION, type Variant } from "./variants.ts";

/** Options of the comparison. */
export interface PolicyPartOptions {
  readonly deployment: DeploymentName;
  readonly variants: readonly Variant[];
  readonly seeds: readonly number[];
  readonly duration_ms: number;
  readonly recorded: RecordedResults | undefined;
}

/** Spread of each measure of one policy over the seeds. */
export type MeasureTable = Readonly<Record<string, Spread>>;

/** Results of the comparison, by policy. */
export interface PolicyResult {
  readonly deployment: DeploymentName;
  readonly seeds: readonly number[];
  readonly duration_ms: number;
  readonly policies: Readonly<Record<string, MeasureTable>>;
}

const CHARTS = [
  "first token p95 ms",
  "stalls over bound",
  "worst workspace's part of its fair share",
  "refused inside the rate",
  "batch efficiency",
  "loads before flood",
  "cross-region kB per request",
] as const;

function toSpreads(rows: readonly Measures[]): MeasureTable {
  const names = Object.keys(rows[0] ?? {});
  return Object.fromEntries(
    names.map((
      name,
    ) => [name, computeSpread(rows.map((row) => row[name] ?? NaN))]),
  );
}

async function runSeeds(
  variant: Variant,
  options: PolicyPartOptions,
): Promise<MeasureTable> {
  const { deployment, duration_ms } = options;
  const rows: Measures[] = [];
  for (const seed of options.seeds) {
    const run = await runVariant({ deployment, variant, seed, duration_ms });
    rows.push(measureRun(run));
    const errors = JSON.stringify(countErrors(run));
    console.log(`${deployment}, ${variant.name}, seed ${seed}: ${errors}`);
  }
  return toSpreads(rows);
}

/** Runs every policy with every seed, one after another, and prints the
 * results. */
export async function comparePolicies(
  options: PolicyPartOptions,
): Promise<PolicyResult> {
  const policies: Record<string, MeasureTable> = {};
  for (const variant of options.variants) {
    policies[variant.name] = await runSeeds(variant, options);
  }
  const { deployment, seeds, duration_ms, recorded } = options;
  const last_recorded = recorded?.policies[deployment];
  if (last_recorded !== undefined) policies[LAST_RECORDED] = last_recorded;
  const result = { deployment, seeds, duration_ms, policies };
  printResult(result);
  return result;
}

function formatSpread(value: Spread | undefined): string {
  if (value === undefined) return "-";
  const { median, min, max } = value;
  if (min === max) return formatNumber(median);
  return `${formatNumber(median)} [${formatNumber(min)}..${formatNumber(max)}]`;
}

/** Formats the comparison as a table with one line for each measure. */
export function formatResult(result: PolicyResult): readonly string[] {
  const names = Object.keys(result.policies);
  const measures = Object.keys(result.policies[names[0] ?? ""] ?? {});
  const rows = measures.map((measure) => [
    measure,
    ...names.map((name) => formatSpread(result.policies[name]?.[measure])),
  ]);
  return formatTable([["", ...names], ...rows]);
}

function printResult(result: PolicyResult): void {
  const { deployment, seeds, duration_ms } = result;
  console.log(`\n${deployment}, seeds ${seeds.join(" ")}, ${duration_ms} ms`);
  for (const line of formatResult(result)) console.log(line);
  const table = result.policies[THIS_VERSION];
  if (table === undefined) return;
  console.log("\nStated targets:");
  for (const line of checkTargets(POLICY_TARGETS, table)) console.log(line);
}

/** Draws the comparison as the text of an SVG file. */
export function drawResult(result: PolicyResult): string {
  const charts = CHARTS.map((measure): Chart => {
    const target = POLICY_TARGETS.find((row) => row.measure === measure);
    const limit = target?.at_most ?? target?.at_least;
    return {
      title: `${result.deployment}: ${measure}`,
      bars: Object.entries(result.policies).flatMap(([label, table]) => {
        const value = table[measure];
        return value === undefined ? [] : [{ label, value }];
      }),
      ...(limit === undefined ? {} : { target: limit }),
    };
  });
  return drawCharts(charts);
}
