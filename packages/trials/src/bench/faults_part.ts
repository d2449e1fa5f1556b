/** Measures refusals of requests within their workspace's rate, while requests
 * are spread unevenly over the instances or a fault is injected.
 *
 * @module
 */
import type { DeploymentName } from "@banyanlb/standins";
import { countErrors, measureRun, type Measures } from "./measures.ts";
import { type Condition, runVariant } from "./run_variant.ts";
import { formatNumber } from "./stated_targets.ts";
import { formatTable } from "./table.ts";
import { VARIANTS } from "./variants.ts";

/** Options of the part. */
export interface FaultsPartOptions {
  readonly deployment: DeploymentName;
  readonly seed: number;
  readonly duration_ms: number;
}

/** Limit of wrongly refused requests in 1000, by condition. */
const REFUSAL_LIMITS: Readonly<Record<Condition, number>> = {
  one_instance: 0,
  instance_lost: 1,
  store_out: 1,
};

const SHOWN_MEASURES = [
  "refused inside the rate",
  "refused inside the rate per 1000",
  "first token p95 ms",
  "flooding workspace refused",
  "flooding workspace refused by one bucket",
] as const;

/** Runs this version once under each condition and prints the measures. */
export async function measureFaults(
  options: FaultsPartOptions,
): Promise<Readonly<Record<string, Measures>>> {
  const [variant] = VARIANTS;
  const measures: Record<string, Measures> = {};
  for (const condition of Object.keys(REFUSAL_LIMITS) as Condition[]) {
    const run = await runVariant({ ...options, variant: variant!, condition });
    measures[condition] = measureRun(run);
    const errors = JSON.stringify(countErrors(run));
    console.log(`${options.deployment}, ${condition}: ${errors}`);
  }
  printFaults(options, measures);
  return measures;
}

function printFaults(
  options: FaultsPartOptions,
  found: Readonly<Record<string, Measures>>,
): void {
  const names = Object.keys(found);
  const rows = SHOWN_MEASURES.map((measure) => [
    measure,
    ...names.map((name) => formatNumber(found[name]?.[measure] ?? NaN)),
  ]);
  console.log(`\n${options.deployment}, seed ${options.seed}, refusals`);
  for (const line of formatTable([["", ...names], ...rows])) console.log(line);
  for (const [condition, limit] of Object.entries(REFUSAL_LIMITS)) {
    const value = found[condition]?.["refused inside the rate per 1000"] ?? NaN;
    const is_met = limit === 0 ? value === 0 : value < limit;
    const limit_text = limit === 0 ? "none" : `below ${limit} in 1000`;
    const status = is_met ? "met   " : "MISSED";
    console.log(
      `${status}  ${condition}: ${formatNumber(value)} (${limit_text})`,
    );
  }
}
