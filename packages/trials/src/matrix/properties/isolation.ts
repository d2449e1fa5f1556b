/** Checks that a request runs only for the workspace of its key, that no target
 * receives a key, and that every caller receives the complete response to its
 * own request, even if targets respond late or with swapped responses.
 *
 * @module
 */
import type { ClusterOptions } from "../../harness/cluster.ts";
import type { PlannedRoute } from "@banyanlb/standins";
import { type CompletionView, promptOf, routesOf } from "../completions.ts";
import { engine_fault_names } from "../faults/all.ts";
import { checkAnswers, isWhole } from "../checks/answer_check.ts";
import { checkEngines, readEngines } from "../checks/engine_check.ts";
import { readServiceCalls } from "../checks/execution_check.ts";
import { checkKeys, checkServices } from "../checks/isolation_check.ts";
import { type Cell, PropertyTrial, type Verdict } from "../property_trial.ts";
import { Intruder } from "../intruder.ts";
import { Traffic } from "../traffic.ts";
import type { World } from "../world.ts";

const BEFORE_FAULT_MS = 4_000;
const ROUTES_PER_WORKSPACE = 2;
const PROMPT_LENGTHS = 60;
const AFTER_FAULT_MS = 2_000;
const REQUESTS_PER_S = 50;
const MAX_CONCURRENT = 60;
const MAX_TOKENS = 20;
const SLOW_TOKEN_MS = 30;
const SLOW_LOAD_MS = 800;

type SetUpStep = (world: World) => Promise<void>;

async function setEngineFaults(world: World, faults: object): Promise<void> {
  await Promise.all(
    world.engines.map(({ control }) => control.setFaults(faults)),
  );
}

const stepSetups: Readonly<Record<string, SetUpStep>> = {
  running: (world) => setEngineFaults(world, { slow_token_ms: SLOW_TOKEN_MS }),
  waiting_for_load: async (world) => {
    await setEngineFaults(world, { load_delay_ms: SLOW_LOAD_MS });
    for (const { control } of world.engines) {
      await control.post("action", { action: "restart_empty" });
    }
  },
  service: async (world) => {
    for (const { control } of world.services) {
      await control.setFaults({ delay_ms: 50, answer_delay_ms: 50 });
    }
  },
};

const faults: readonly string[] = [
  "none",
  ...engine_fault_names,
  "kill_entry",
  "kill_owner",
  "stop_entry",
  "freeze_entry",
  "freeze_owner",
  "cut_target",
  "cut_target_answers",
  "cut_regions",
  "store_hangs",
  "two_operators",
  "target_late*2",
  "target_crossed*2",
  "target_crossed+target_late",
  "target_late+freeze_entry",
  "target_crossed+kill_owner",
];

/** Sends requests for all workspaces at once, and requests that try to use
 * adapters and services of a workspace without its key. */
export class Isolation extends PropertyTrial {
  override readonly name = "isolation";
  override readonly steps = Object.keys(stepSetups);
  override readonly quick = ["running/target_crossed+target_late"];
  override readonly mutations = {
    key_passed_on: "service/none",
    foreign_version_admitted: "running/none",
    foreign_route_admitted: "running/none",
    answer_id_not_checked: "running/target_crossed",
  };

  override clusterOptions(): Partial<ClusterOptions> {
    return {};
  }

  override faultsAt(): readonly string[] {
    return faults;
  }

  override async run(cell: Cell): Promise<Verdict> {
    const { fault, world } = cell;
    const setUpStep = stepSetups[cell.step];
    if (setUpStep === undefined) throw new Error(`no step ${cell.step}`);
    const site = await world.siteOf(world.engines[0]?.name ?? "");
    await setUpStep(world);
    const traffic = this.#startTraffic(cell);
    const intruder = new Intruder(world, cell.random);
    await world.sleep(BEFORE_FAULT_MS);
    const lift = await fault.inject(world, site);
    await world.sleep(fault.hold_ms);
    await lift();
    await world.sleep(AFTER_FAULT_MS);
    const tries = await intruder.stop();
    const views = await traffic.stop();
    const records = await readEngines(world);
    const calls = await readServiceCalls(world);
    return {
      is_reached: tries.length > 0 && views.some(isWhole),
      violations: [
        ...checkEngines(world, records),
        ...checkKeys(world, records, calls),
        ...checkServices(world, calls),
        ...checkAnswers(views),
        ...intruder.violations,
      ],
      counts: this.#count(views, tries.length),
    };
  }

  #startTraffic({ random, world }: Cell): Traffic {
    // Few routes, so that requests rarely wait for adapter loads.
    const routes = world.cluster.deployment.workspaces
      .flatMap(({ name }) =>
        routesOf(world, name).slice(0, ROUTES_PER_WORKSPACE)
      );
    const count = world.cluster.instances.length;
    return new Traffic(world, {
      completions_per_s: REQUESTS_PER_S,
      at_once: MAX_CONCURRENT,
      random,
      next: (number) => ({
        route: pickRoute(routes, random),
        // Concurrent requests have different prompts.
        prompt: promptOf(1 + number % PROMPT_LENGTHS),
        max_tokens: MAX_TOKENS,
        stream: number % 2 === 0,
        entry: Math.floor(random() * count),
      }),
    });
  }

  #count(
    views: readonly CompletionView[],
    tries: number,
  ): Readonly<Record<string, number>> {
    return {
      sent: views.length,
      served: views.filter(isWhole).length,
      tries,
    };
  }
}

function pickRoute(
  routes: readonly PlannedRoute[],
  random: () => number,
): PlannedRoute {
  const route = routes[Math.floor(random() * routes.length)];
  if (route === undefined) throw new Error("no routes");
  return route;
}
