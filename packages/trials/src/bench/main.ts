/** `npm run bench`: measures the routing policy against its baselines, refusals
 * under faults, the relay and the peer link.
 *
 * @module
 */
import type { DeploymentName } from "@banyanlb/standins";
import { execFileSync } from "node:child_process";
import { mkdir, writeFile } from "node:fs/promises";
import { dirname } from "node:path";
import sade from "sade";
import { QUICK_RUN_S, RUN_S } from "./constants.ts";
import { measureFaults } from "./faults_part.ts";
import {
  comparePolicies,
  drawResult,
  type PolicyResult,
} from "./policy_part.ts";
import { readRecorded, writeRecorded } from "./recorded.ts";
import { measureRelay } from "./relay_part.ts";
import { measureLinks } from "./trpc_part.ts";
import { VARIANTS } from "./variants.ts";

const RECORDED_FILE = "bench/recorded.json";
const MS_PER_S = 1_000;
const DEPLOYMENTS: readonly DeploymentName[] = ["jongsori", "kim_quy"];

interface Flags {
  readonly deployment: string;
  readonly part: string;
  readonly seeds: number;
  readonly "first-seed": number;
  readonly seconds?: number;
  readonly only?: string;
  readonly quick?: boolean;
  readonly record?: boolean;
  readonly json?: string;
  readonly svg?: string;
}

function currentCommit(): string {
  try {
    const args = ["rev-parse", "--short", "HEAD"];
    return execFileSync("git", args, { encoding: "utf8" }).trim();
  } catch {
    return "unknown";
  }
}

function chooseDeployments(name: string): readonly DeploymentName[] {
  if (name === "both") return DEPLOYMENTS;
  const matching_deployments = DEPLOYMENTS.filter((deployment) =>
    deployment === name
  );
  if (matching_deployments.length > 0) return matching_deployments;
  throw new Error(`--deployment is jongsori, kim_quy or both, not ${name}`);
}

async function writeText(file: string, text: string): Promise<void> {
  await mkdir(dirname(file), { recursive: true });
  await writeFile(file, text);
}

function runDurationMs(flags: Flags): number {
  const seconds = flags.seconds ?? (flags.quick ? QUICK_RUN_S : RUN_S);
  return Number(seconds) * MS_PER_S;
}

async function runFaults(flags: Flags) {
  const rows: Record<string, unknown> = {};
  for (const deployment of chooseDeployments(flags.deployment)) {
    rows[deployment] = await measureFaults({
      deployment,
      seed: Number(flags["first-seed"]),
      duration_ms: runDurationMs(flags),
    });
  }
  return rows;
}

async function runPolicies(flags: Flags): Promise<readonly PolicyResult[]> {
  const count = flags.quick ? 1 : Number(flags.seeds);
  const first = Number(flags["first-seed"]);
  const seeds = Array.from({ length: count }, (_, i) => first + i);
  const { only } = flags;
  const variants = VARIANTS.filter((variant) =>
    only === undefined || variant.name.startsWith(only)
  );
  const recorded = await readRecorded(RECORDED_FILE);
  const results: PolicyResult[] = [];
  for (const deployment of chooseDeployments(flags.deployment)) {
    const result = await comparePolicies({
      deployment,
      variants,
      seeds,
      duration_ms: runDurationMs(flags),
      recorded,
    });
    results.push(result);
    if (flags.svg === undefined) continue;
    const file = flags.svg.replace(/\.svg$/, `-${deployment}.svg`);
    await writeText(file, drawResult(result));
  }
  if (flags.record) {
    await writeRecorded(RECORDED_FILE, { commit: currentCommit(), results });
  }
  return results;
}

async function run(flags: Flags): Promise<void> {
  const commit = currentCommit();
  console.log(`commit ${commit}, Node.js ${process.version}`);
  const { part } = flags;
  const parts = {
    policy: () => runPolicies(flags),
    faults: () => runFaults(flags),
    relay: () => measureRelay({ quick: flags.quick === true }),
    trpc: () => measureLinks({ quick: flags.quick === true }),
  };
  const results: Record<string, unknown> = { commit };
  for (const [name, measure] of Object.entries(parts)) {
    if (part !== "all" && part !== name) continue;
    results[name] = await measure();
  }
  if (flags.json === undefined) return;
  await writeText(flags.json, `${JSON.stringify(results, null, 2)}\n`);
}

sade("bench", true)
  .option("--deployment", "jongsori, kim_quy or both", "both")
  .option("--part", "policy, faults, relay, trpc or all", "all")
  .option("--seeds", "Number of seeds", 3)
  .option("--first-seed", "The first seed", 1)
  .option("--seconds", "Seconds of each run")
  .option("--only", "Only policies whose name starts with this")
  .option("--quick", "One short run of each measurement")
  .option("--record", `Record this version in ${RECORDED_FILE}`)
  .option("--json", "File for all results")
  .option("--svg", "File for the charts of each deployment")
  .action((flags: Flags) => {
    run(flags).then(() => process.exit(0), (cause) => {
      console.error(cause);
      process.exit(1);
    });
  })
  .parse(process.argv);
