/** Checks that a target which the instance list or a configuration change marks
 * as leaving gets no new work after a bound, and that requests avoid a crashed
 * target even while the list still shows it as live.
 *
 * @module
 */
import type { Target } from "@banyanlb/core";
import { monotonicMs } from "@banyanlb/standins";
import type { ClusterOptions } from "../../harness/cluster.ts";
import { type CompletionView, promptOf, routesOf } from "../completions.ts";
import type { FaultSite, LiftFault } from "../faults/fault.ts";
import { isWhole } from "../checks/answer_check.ts";
import { readEngines } from "../checks/engine_check.ts";
import {
  checkCutCompletions,
  checkStartsAfter,
} from "../checks/leaving_check.ts";
import { pickOperatorIndex, publishUntilAccepted } from "../operator_edits.ts";
import { type Cell, PropertyTrial, type Verdict } from "../property_trial.ts";
import { Traffic } from "../traffic.ts";
import type { World } from "../world.ts";

const WORKSPACE = "large-buyer";
/** Time after the mark from which a leaving target may get no new work. */
const NO_NEW_WORK_AFTER_MS = 3_000;
/** Lag of the instance list in these trials. */
const LIST_LAG_MS = 1_000;
const BEFORE_FAULT_MS = 4_000;
const FAULT_LEAD_MS = 300;
const AFTER_BOUND_MS = 2_500;
const ACCEPT_LIMIT_MS = 30_000;
const LEASE_TERM_MS = 4_000;
const ROUTE_COUNT = 8;
/** Number of prompt lengths, from one token up. Short prompts keep the traffic
 * within the rate limit. */
const PROMPT_LENGTHS = 40;
const REQUESTS_PER_S = 40;
const MAX_CONCURRENT = 40;
const MAX_TOKENS = 20;
const SLOW_TOKEN_MS = 20;

/** Makes a target leave. Returns the time from which instances could see it, as
 * in `monotonicMs`, and how to undo it. */
type Announce = (
  world: World,
  site: FaultSite,
) => Promise<{ readonly shown_ms: number; readonly undo: LiftFault }>;

function findTarget(world: World, name: string): Target {
  const found = world.cluster.objects.objects
    .find((object) => object.kind === "target" && object.name === name);
  return found as Target;
}

const announcements: Readonly<Record<string, Announce>> = {
  change: async (world, site) => {
    const target = findTarget(world, site.target);
    const publish = async (object: Target) => {
      const via = pickOperatorIndex(world, [site.entry, site.owner]);
      const edit = { put: [object], via };
      await publishUntilAccepted(world, edit, ACCEPT_LIMIT_MS);
    };
    await publish({ ...target, leaving: true });
    const shown_ms = monotonicMs();
    return { shown_ms, undo: () => publish({ ...target, leaving: false }) };
  },
  list: async (world, site) => {
    await world.cluster.setListedState(site.target, "leaving");
    const shown_ms = monotonicMs() + LIST_LAG_MS;
    const undo = () => world.cluster.setListedState(site.target, "live");
    return { shown_ms, undo };
  },
  crash: async (world, site) => {
    await world.cluster.killTarget(site.target);
    const undo = () => world.cluster.restartTarget(site.target);
    return { shown_ms: monotonicMs(), undo };
  },
};

const faults: readonly string[] = [
  "none",
  "kill_entry",
  "kill_owner",
  "stop_entry",
  "stop_owner",
  "freeze_entry",
  "freeze_owner",
  "cut_store",
  "cut_store_answers",
  "cut_peers",
  "cut_peers_one_way",
  "cut_regions",
  "cut_regions_one_way",
  "store_refuses",
  "store_hangs",
  "store_slow",
  "lost_answer_fleet",
  "lost_answer_manifest",
  "two_operators",
  "freeze_entry*2",
  "kill_owner+store_hangs",
  "freeze_owner+store_refuses",
];

/** Makes a target leave or crash while it is in use. */
export class LeavingTarget extends PropertyTrial {
  override readonly name = "leaving_target";
  override readonly steps = Object.keys(announcements);
  override readonly quick = ["list/none"];
  override readonly mutations = {
    target_changes_not_followed: "change/none",
    list_not_believed: "list/none",
  };

  override clusterOptions(): Partial<ClusterOptions> {
    return { settings: { lease_term_ms: LEASE_TERM_MS } };
  }

  override faultsAt(): readonly string[] {
    return faults;
  }

  override async run(cell: Cell): Promise<Verdict> {
    const { fault, world } = cell;
    const announce = announcements[cell.step];
    if (announce === undefined) throw new Error(`no step ${cell.step}`);
    for (const { control } of world.engines) {
      await control.setFaults({ slow_token_ms: SLOW_TOKEN_MS });
    }
    const traffic = this.#startTraffic(cell);
    await world.sleep(BEFORE_FAULT_MS);
    const { target: busiest, starts: starts_before } = await this
      .#findBusiestEngine(world);
    const site = await world.siteOf(busiest);
    const injected = fault.inject(world, site);
    await world.sleep(FAULT_LEAD_MS);
    const announced = announce(world, site);
    const lift = await injected;
    await world.sleep(fault.hold_ms);
    await lift();
    const { shown_ms, undo } = await announced;
    const bound_ms = shown_ms + NO_NEW_WORK_AFTER_MS;
    await world.sleep(Math.max(0, bound_ms - monotonicMs()) + AFTER_BOUND_MS);
    const views = await traffic.stop();
    const violations = cell.step === "crash"
      ? this.#checkServed(views, { bound_ms, fault: fault.name })
      : [
        ...checkStartsAfter(await readEngines(world), {
          target: site.target,
          cutoff_ms: bound_ms,
        }),
        ...(fault.name === "none" ? checkCutCompletions(views) : []),
      ];
    await undo();
    const late_views = views.filter((view) => view.sent_ms > bound_ms);
    return {
      is_reached: starts_before > 0 && late_views.some(isWhole),
      violations,
      counts: {
        sent: views.length,
        served: views.filter(isWhole).length,
        at_target_before: starts_before,
        late: late_views.length,
        late_served: late_views.filter(isWhole).length,
      },
    };
  }

  /** Finds requests that failed after the bound. If no fault was injected, the
   * crashed target must not make requests fail any more. */
  #checkServed(
    views: readonly CompletionView[],
    options: { readonly bound_ms: number; readonly fault: string },
  ): readonly string[] {
    if (options.fault !== "none") return [];
    return views
      .filter((view) => view.sent_ms > options.bound_ms && !isWhole(view))
      .map(({ result }) =>
        `a request failed: ${result?.status ?? "no answer"} ` +
        `${result?.error_type ?? ""}`
      );
  }

  /** Returns the engine that got the most requests. Any other might get none
   * after the bound by chance. */
  async #findBusiestEngine(
    world: World,
  ): Promise<{ readonly target: string; readonly starts: number }> {
    const rows = (await readEngines(world)).map(({ target, record }) => ({
      target,
      starts: record.requests.length,
    }));
    const unused_engine = { target: world.engines[0]?.name ?? "", starts: 0 };
    return rows.reduce((a, b) => b.starts > a.starts ? b : a, unused_engine);
  }

  #startTraffic({ random, world }: Cell): Traffic {
    // Few routes, so that each engine has some loaded and stays in use.
    const routes = routesOf(world, WORKSPACE).slice(0, ROUTE_COUNT);
    const count = world.cluster.instances.length;
    return new Traffic(world, {
      completions_per_s: REQUESTS_PER_S,
      at_once: MAX_CONCURRENT,
      random,
      next: (number) => {
        const route = routes[number % routes.length];
        if (route === undefined) throw new Error(`no route of ${WORKSPACE}`);
        return {
          route,
          prompt: promptOf(1 + number % PROMPT_LENGTHS),
          max_tokens: MAX_TOKENS,
          stream: number % 2 === 0,
          entry: Math.floor(random() * count),
        };
      },
    });
  }
}
