/** `npm run capacity`: measures slopes on this machine, computes the costs at
 * the planned size, and writes `out/capacity.json` and the tables of
 * `docs/CAPACITY.md`.
 *
 * Arguments name the parts to measure: `state`, `fleets`, `starts` or
 * `requests`. Other parts are read from the existing `out/capacity.json`.
 * Without arguments all parts are measured; with `tables`, none.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { availableParallelism, loadavg } from "node:os";
import { failureScenarios } from "./failure_scenarios.ts";
import { bytesPerCall, fleetSlopes } from "./fleet_slopes.ts";
import { measureFleets } from "./fleet_trial.ts";
import {
  applyDesignChanges,
  evaluateOptions,
  fitControlTimes,
} from "./control_times.ts";
import { replaceSection } from "./markdown.ts";
import {
  badDaysTable,
  basisTable,
  limitsTable,
  type PageFigures,
  rolesTable,
  slopesTable,
  timesTable,
} from "./page_tables.ts";
import { CURRENT_TIMES, PLAN_LIMITS, PLAN_SIZE } from "./plan_size.ts";
import { measureRequests } from "./request_slopes.ts";
import { type CallBytes, deriveInputs } from "./role_inputs.ts";
import { type ModelOptions, nodeCosts } from "./role_model.ts";
import { storeLoad } from "./store_load.ts";
import { type Slope, Slopes } from "./slope.ts";
import { measureStarts, startSlopes } from "./start_slopes.ts";
import { measureState } from "./state_slopes.ts";

const OUT_DIRECTORY = "out";
const OUT_FILE = "out/capacity.json";
const PAGE_FILE = "docs/CAPACITY.md";
const PART_NAMES = ["state", "fleets", "starts", "requests"] as const;
const TABLES_ONLY = "tables";
const SHORT_HASH_LENGTH = 10;

/** Ratio of the tokens that the entry takes from shares it holds itself;
 * assumed. Steering sends up to 80% of a workspace's callers to instances of
 * their region that hold shares of the workspace. A workspace has three random
 * share slots, so in half of all cases the region has a holder. */
const LOCAL_TOKEN_RATIO = 0.35;

/** Sufficient number of slots in each region: two for each node. */
const FITTED_SLOTS_PER_REGION = 140;

type PartName = (typeof PART_NAMES)[number];

/** One measured part of a run, as stored in `out/capacity.json`. */
interface Part {
  readonly commit: string;
  readonly at: string;
  readonly cores: number;
  /** Load averages of the machine before the part was measured. */
  readonly load: readonly number[];
  readonly slopes: readonly Slope[];
  readonly figures: unknown;
  readonly calls?: CallBytes;
}

type Parts = Readonly<Partial<Record<PartName, Part>>>;

function currentCommit(): string {
  const args = ["rev-parse", "HEAD"];
  try {
    const hash = execFileSync("git", args, { encoding: "utf8" }).trim();
    return hash.slice(0, SHORT_HASH_LENGTH);
  } catch {
    return "unknown";
  }
}

async function runMeasurement(
  name: PartName,
): Promise<Pick<Part, "slopes" | "figures" | "calls">> {
  switch (name) {
    case "state":
      return { slopes: await measureState(), figures: [] };
    case "requests":
      return { slopes: await measureRequests(), figures: [] };
    case "starts": {
      const figures = await measureStarts();
      return { slopes: startSlopes(figures), figures };
    }
    case "fleets": {
      const figures = await measureFleets();
      const calls = {
        renewal: bytesPerCall(figures, "session update"),
        session_read: bytesPerCall(figures, "session get"),
        manifest_poll: bytesPerCall(figures, "manifest watch"),
      };
      return { slopes: fleetSlopes(figures), figures, calls };
    }
  }
}

async function measurePart(name: PartName): Promise<Part> {
  console.log(`measuring ${name}`);
  const load = loadavg();
  const measured = await runMeasurement(name);
  const at = new Date().toISOString();
  const cores = availableParallelism();
  return { commit: currentCommit(), at, cores, load, ...measured };
}

function readParts(): Parts {
  if (!existsSync(OUT_FILE)) return {};
  return JSON.parse(readFileSync(OUT_FILE, "utf8")).parts as Parts;
}

function computePageFigures(parts: Parts): PageFigures {
  const slopes = new Slopes(
    PART_NAMES.flatMap((name) => parts[name]?.slopes ?? []),
  );
  const calls = parts.fleets?.calls;
  if (calls === undefined) throw new Error("no fleets measured; measure them");
  const inputs = deriveInputs(slopes, PLAN_SIZE, calls);
  const options: ModelOptions = {
    times: CURRENT_TIMES,
    local_permit_ratio: 1 / PLAN_SIZE.nodes,
    local_token_ratio: LOCAL_TOKEN_RATIO,
    plans_at_every_interval: false,
  };
  const context = { options, limits: PLAN_LIMITS };
  const fitted_size = {
    ...PLAN_SIZE,
    slots_per_region: FITTED_SLOTS_PER_REGION,
  };
  const fitted_inputs = deriveInputs(slopes, fitted_size, calls);
  const fitted = fitControlTimes(fitted_size, fitted_inputs, context);
  const changed_design = applyDesignChanges(fitted_inputs, {
    options,
    times: fitted.times,
  });
  return {
    commit: currentCommit(),
    size: PLAN_SIZE,
    limits: PLAN_LIMITS,
    slopes,
    inputs,
    rows: nodeCosts(PLAN_SIZE, inputs, options),
    store: storeLoad(PLAN_SIZE, inputs, options),
    fitted,
    changed: evaluateOptions(
      fitted_size,
      changed_design.inputs,
      changed_design.options,
    ),
    bad_days: failureScenarios(PLAN_SIZE, { inputs, ...context }),
  };
}

function formatRuns(parts: Parts): string {
  const lines = PART_NAMES.map((name) => {
    const part = parts[name];
    if (part === undefined) return `- ${name}: not run`;
    const load = part.load[0]?.toFixed(1);
    return `- ${name}: commit ${part.commit}, ${part.at}, ${part.cores} ` +
      `cores, load ${load}`;
  });
  return lines.join("\n");
}

function writePage(figures: PageFigures, parts: Parts): void {
  const sections = {
    runs: formatRuns(parts),
    limits: limitsTable(figures),
    roles: rolesTable(figures.rows),
    times: timesTable(figures),
    "bad days": badDaysTable(figures.bad_days),
    basis: basisTable(figures.inputs),
    slopes: slopesTable(figures.slopes),
  };
  let page = readFileSync(PAGE_FILE, "utf8");
  for (const [name, text] of Object.entries(sections)) {
    page = replaceSection(page, name, text);
  }
  writeFileSync(PAGE_FILE, page);
}

async function run(args: readonly string[]): Promise<void> {
  const selected_names = args.length === 0
    ? PART_NAMES
    : PART_NAMES.filter((name) => args.includes(name));
  if (selected_names.length === 0 && !args.includes(TABLES_ONLY)) {
    throw new Error(
      `name parts of ${PART_NAMES.join(", ")}, or ${TABLES_ONLY}`,
    );
  }
  mkdirSync(OUT_DIRECTORY, { recursive: true });
  let parts = readParts();
  for (const name of selected_names) {
    parts = { ...parts, [name]: await measurePart(name) };
    // Stored after each part, so that a later failure doesn't lose the part.
    writeFileSync(OUT_FILE, JSON.stringify({ parts }, null, 2));
  }
  const figures = computePageFigures(parts);
  const { slopes, ...model } = figures;
  const output = { parts, model: { ...model, slopes: slopes.all.length } };
  writeFileSync(OUT_FILE, JSON.stringify(output, null, 2));
  writePage(figures, parts);
  console.log(limitsTable(figures));
  console.log(`\nwrote ${OUT_FILE} and the tables of ${PAGE_FILE}`);
}

run(process.argv.slice(2)).catch((cause) => {
  console.error(cause);
  process.exitCode = 1;
});
