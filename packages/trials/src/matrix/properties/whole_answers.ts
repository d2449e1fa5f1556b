/** Checks that every response which a caller must take as complete has the
 * right text, and that a completion refused as "not run" did not run.
 *
 * @module
 */
import type { EngineFaults } from "@banyanlb/standins";
import type { ClusterOptions } from "../../harness/cluster.ts";
import { waitUntil } from "../../harness/cluster.ts";
import {
  type CompletionPlan,
  type CompletionView,
  promptOf,
  routesOf,
  sendCompletion,
} from "../completions.ts";
import {
  common_faults,
  engine_fault_names,
  paired_faults,
  repeated_faults,
} from "../faults/all.ts";
import type { LiftFault } from "../faults/fault.ts";
import {
  checkAnswers,
  checkNotRunClaims,
  isWhole,
} from "../checks/answer_check.ts";
import { readEngines, requestsOf } from "../checks/engine_check.ts";
import { type Cell, PropertyTrial, type Verdict } from "../property_trial.ts";
import type { World } from "../world.ts";

const LEASE_TERM_MS = 2_000;
const WORKSPACE = "large-buyer";
const CALL_COUNT = 24;
const ENTRY_INDEX = 1;
const EARLY_FAULTS = [
  "target_reset",
  "target_cut",
  "target_late",
  "target_crossed",
  "target_refuses",
];
const ROUTE_COUNT = 4;
const FIRST_PROMPT_TOKENS = 3;
const MAX_TOKENS = 40;
const SLOW_TOKEN_MS = 40;
const SLOW_LOAD_MS = 500;
const TIMEOUT_MS = 15_000;
const DEADLINE_MS = 3_000;
const REACH_LIMIT_MS = 5_000;
const LAST_TOKEN_COUNT = 2;
const RECOVERY_LIMIT_MS = 20_000;

/** Engine delays that bring requests into one step, and the check that one is
 * there. */
interface StepSetup {
  readonly engines: EngineFaults;
  /** True if the engines start without loaded adapters. */
  readonly starts_cold?: boolean;
  /** Returns whether a request has reached the step. */
  readonly isReached: (world: World) => Promise<boolean>;
}

async function hasRequest(
  world: World,
  matches: (tokens: number, running: boolean) => boolean,
): Promise<boolean> {
  const requests = requestsOf(await readEngines(world));
  return requests.some((request) =>
    matches(request.tokens, request.end === undefined)
  );
}

const slowTokens: EngineFaults = { slow_token_ms: SLOW_TOKEN_MS };

const stepSetups: Readonly<Record<string, StepSetup>> = {
  arrived: { engines: {}, isReached: () => Promise.resolve(true) },
  waiting_for_load: {
    engines: { load_delay_ms: SLOW_LOAD_MS },
    starts_cold: true,
    isReached: async (world) => {
      const records = await readEngines(world);
      return records.some(({ record }) => record.orders.length > 0);
    },
  },
  sent: {
    engines: slowTokens,
    isReached: (world) => hasRequest(world, (_, running) => running),
  },
  first_byte: {
    engines: slowTokens,
    isReached: (world) =>
      hasRequest(world, (tokens, running) => running && tokens > 0),
  },
  mid_stream: {
    engines: slowTokens,
    isReached: (world) =>
      hasRequest(
        world,
        (tokens, running) => running && tokens > MAX_TOKENS / 2,
      ),
  },
  last_byte: {
    engines: slowTokens,
    isReached: (world) =>
      hasRequest(world, (tokens) => tokens >= MAX_TOKENS - LAST_TOKEN_COUNT),
  },
};

/** Sends streamed and plain completions, each with its own prompt length. */
export class WholeAnswers extends PropertyTrial {
  override readonly name = "whole_answers";
  override readonly steps = Object.keys(stepSetups);
  override readonly quick = [
    "sent/target_cut",
    "sent/target_crossed",
    "mid_stream/target_crash",
  ];
  override readonly mutations = {
    end_without_marker: "sent/target_cut",
    crossed_answer_relayed: "sent/target_crossed",
    sent_completion_claimed_not_run: "sent/cut_target_answers",
  };

  override clusterOptions(): Partial<ClusterOptions> {
    return { settings: { lease_term_ms: LEASE_TERM_MS } };
  }

  override faultsAt(): readonly string[] {
    return [
      ...engine_fault_names,
      ...common_faults,
      ...repeated_faults,
      ...paired_faults,
    ];
  }

  override async run(cell: Cell): Promise<Verdict> {
    const { fault, world } = cell;
    const setup = stepSetups[cell.step];
    if (setup === undefined) throw new Error(`no step ${cell.step}`);
    const plans = this.#planCompletions(cell);
    if (setup.starts_cold !== true) await this.#warmUp(world, plans);
    else await this.#unloadAdapters(world);
    await this.#setEngineFaults(world, setup.engines);
    // Faults that affect the next requests are injected before these are sent.
    const is_early = cell.step === "sent" && EARLY_FAULTS.includes(fault.name);
    const early_lift = is_early ? await this.#injectAtAll(cell) : undefined;
    const started = plans.map((plan) => sendCompletion(world, plan));
    const reached = await this.#waitForStep(world, setup);
    const lift = early_lift ?? await this.#inject(cell);
    await world.sleep(fault.hold_ms);
    await lift();
    await this.#setEngineFaults(world, { slow_token_ms: 0, load_delay_ms: 0 });
    const views = await Promise.all(started);
    const records = requestsOf(await readEngines(world));
    const recovered = await this.#hasRecovered(world, plans);
    return {
      is_reached: reached,
      violations: [
        ...checkAnswers(views),
        ...checkNotRunClaims(views, records),
        ...(recovered ? [] : ["no complete response after the fault ended"]),
      ],
      counts: this.#count(views),
    };
  }

  #count(views: readonly CompletionView[]): Readonly<Record<string, number>> {
    return {
      sent: views.length,
      whole: views.filter(isWhole).length,
      not_run: views.filter((view) => view.result?.not_run === true).length,
      broken: views.filter((view) => !isWhole(view)).length,
    };
  }

  async #inject({ fault, world }: Cell): Promise<LiftFault> {
    const site = await world.siteOf(await this.#findBusiestEngine(world));
    return await fault.inject(world, { ...site, entry: ENTRY_INDEX });
  }

  /** Injects the fault at every engine, as any of them may serve the
   * requests. */
  async #injectAtAll({ fault, world }: Cell): Promise<LiftFault> {
    const lifts: LiftFault[] = [];
    for (const { name } of world.engines) {
      lifts.push(
        await fault.inject(world, {
          ...await world.siteOf(name),
          entry: ENTRY_INDEX,
        }),
      );
    }
    return async () => {
      for (const lift of lifts) await lift();
    };
  }

  /** Returns the engine that got the most requests; among equals, the one with
   * the most loaded adapters. */
  async #findBusiestEngine(world: World): Promise<string> {
    const records = await readEngines(world);
    const usage_scores = records.map(({ record }) =>
      record.requests.length * CALL_COUNT + record.loaded.length
    );
    const index = usage_scores.indexOf(Math.max(...usage_scores));
    return records[index]?.target ?? "";
  }

  #planCompletions({ random, world }: Cell): readonly CompletionPlan[] {
    const routes = routesOf(world, WORKSPACE).slice(0, ROUTE_COUNT);
    const count = world.cluster.instances.length;
    return Array.from({ length: CALL_COUNT }, (_, i) => {
      const route = routes[i % routes.length];
      if (route === undefined) throw new Error(`no route of ${WORKSPACE}`);
      return {
        route,
        prompt: promptOf(FIRST_PROMPT_TOKENS + i),
        max_tokens: MAX_TOKENS,
        stream: i % 3 !== 0,
        // Most calls use the instance at which entry faults are injected.
        entry: i % 3 === 0 ? Math.floor(random() * count) : ENTRY_INDEX,
        timeout_ms: TIMEOUT_MS,
        ...(Math.floor(i / ROUTE_COUNT) % 2 === 0
          ? { deadline_ms: DEADLINE_MS }
          : {}),
      };
    });
  }

  async #setEngineFaults(world: World, faults: EngineFaults): Promise<void> {
    await Promise.all(world.engines.map((e) => e.control.setFaults(faults)));
  }

  /** Loads the adapters, so that requests are sent to engines without a
   * wait. */
  async #warmUp(
    world: World,
    plans: readonly CompletionPlan[],
  ): Promise<void> {
    const first = plans.slice(0, ROUTE_COUNT);
    await Promise.all(
      first.map((plan) => sendCompletion(world, { ...plan, max_tokens: 1 })),
    );
    await Promise.all(world.engines.map((e) => e.control.reset()));
  }

  async #unloadAdapters(world: World): Promise<void> {
    for (const { control } of world.engines) {
      await control.post("action", { action: "restart_empty" });
    }
  }

  async #waitForStep(world: World, setup: StepSetup): Promise<boolean> {
    try {
      await waitUntil(() => setup.isReached(world), {
        what: "the step is reached",
        limit_ms: REACH_LIMIT_MS,
      });
      return true;
    } catch {
      return false;
    }
  }

  /** Sends completions until one is served. Returns false if none is served in
   * time after the fault is lifted. */
  async #hasRecovered(
    world: World,
    plans: readonly CompletionPlan[],
  ): Promise<boolean> {
    const until = performance.now() + RECOVERY_LIMIT_MS;
    for (let i = 0; performance.now() < until; i++) {
      const plan = plans[i % plans.length];
      if (plan === undefined) return false;
      if (isWhole(await sendCompletion(world, plan))) return true;
      await world.sleep(SLOW_LOAD_MS);
    }
    return false;
  }
}
