/** Checks that each request runs on the right adapter version, only for the
 * adapter's workspace, and that no adapter in use is evicted. With more
 * adapters than adapter slots, engines load and evict all the time.
 *
 * @module
 */
import type { ConfigObject } from "@banyanlb/core";
import type { PlannedRoute } from "@banyanlb/standins";
import type { ClusterOptions } from "../../harness/cluster.ts";
import { promptOf } from "../completions.ts";
import {
  common_faults,
  engine_fault_names,
  paired_faults,
  repeated_faults,
} from "../faults/all.ts";
import type { FaultSite, LiftFault } from "../faults/fault.ts";
import { checkAnswers, isWhole } from "../checks/answer_check.ts";
import {
  checkEngines,
  readEngines,
  requestsOf,
  type TargetRecord,
} from "../checks/engine_check.ts";
import { publishVersion } from "../operator.ts";
import { type Cell, PropertyTrial, type Verdict } from "../property_trial.ts";
import { Traffic } from "../traffic.ts";
import type { World } from "../world.ts";

const LEASE_TERM_MS = 2_000;
const ADAPTER_SLOTS = 2;
const ROUTE_COUNT = 10;
const LOADS_PER_S = 40;
const PROMPT_TOKENS = 6;
const MAX_TOKENS = 30;
const REQUESTS_PER_S = 25;
const MAX_CONCURRENT = 60;
const BEFORE_FAULT_MS = 2_000;
const AFTER_FAULT_MS = 2_000;
const TAKE_OVER_START_MS = 300;
const SLOW_TOKEN_MS = 60;
const SLOW_LOAD_MS = 500;
const ORDER_DELAY_MS = 300;
const TIMEOUT_MS = 10_000;

type SetUpStep = (world: World, site: FaultSite) => Promise<LiftFault>;

/** Returns a setup that delays all engines, so that requests stay in a step. */
function slowEngines(set: object, lift: object): SetUpStep {
  return async (world) => {
    await Promise.all(world.engines.map((e) => e.control.setFaults(set)));
    return async () => {
      await Promise.all(world.engines.map((e) => e.control.setFaults(lift)));
    };
  };
}

/** Delays the link from the owner to the engine, so that orders are in transit
 * when the fault is injected. */
async function slowOrders(world: World, site: FaultSite): Promise<LiftFault> {
  const from = { name: world.instance(site.owner).name };
  const to = { name: site.target };
  const delays = [{ from, to, ms: ORDER_DELAY_MS }];
  await world.cluster.network.setFaults({ delays });
  return () => world.cluster.network.setFaults({ delays: [] });
}

async function killOwner(world: World, site: FaultSite): Promise<LiftFault> {
  await world.instance(site.owner).process?.kill();
  await world.sleep(TAKE_OVER_START_MS);
  return () => world.restartInstance(site.owner);
}

async function moveSlotsTwice(
  world: World,
  site: FaultSite,
): Promise<LiftFault> {
  const lift = await killOwner(world, site);
  await world.sleep(world.longer_than_lease_ms);
  await lift();
  return () => Promise.resolve();
}

function shutdown(world: World, site: FaultSite): Promise<LiftFault> {
  const { process } = world.instance(site.owner);
  process?.signal("SIGTERM");
  return Promise.resolve(async () => {
    await process?.exited;
    await world.restartInstance(site.owner);
  });
}

const stepSetups: Readonly<Record<string, SetUpStep>> = {
  running: slowEngines({ slow_token_ms: SLOW_TOKEN_MS }, { slow_token_ms: 0 }),
  loading: slowEngines({ load_delay_ms: SLOW_LOAD_MS }, { load_delay_ms: 0 }),
  order_under_way: slowOrders,
  take_over: killOwner,
  slot_move: moveSlotsTwice,
  shutdown,
  version_change: async (world) => {
    await publishVersion(world, pickRoutes(world)[0]?.route ?? "");
    return () => Promise.resolve();
  },
};

/** Returns routes spread evenly over all workspaces. */
function pickRoutes(world: World): readonly PlannedRoute[] {
  const { routes } = world.cluster.objects;
  const step = Math.max(1, Math.floor(routes.length / ROUTE_COUNT));
  return routes.filter((_, i) => i % step === 0).slice(0, ROUTE_COUNT);
}

function editObject(object: ConfigObject): ConfigObject {
  if (object.kind !== "target" || object.type !== "engine") return object;
  return { ...object, adapter_slots: ADAPTER_SLOTS };
}

function countOrders(
  records: readonly TargetRecord[],
  order: "load" | "evict",
): number {
  return records.flatMap(({ record }) => record.orders)
    .filter((row) => row.order === order && !row.name.startsWith("_")).length;
}

/** Checks versions, workspaces and evictions at the engines, and the texts that
 * callers receive. */
export class RightAdapter extends PropertyTrial {
  override readonly name = "right_adapter";
  override readonly steps = Object.keys(stepSetups);
  override readonly quick = ["order_under_way/freeze_owner"];
  override readonly mutations = {
    eviction_ignores_permits: "running/none",
    foreign_workspace_admitted: "running/none",
    other_version_sent: "running/none",
  };

  override clusterOptions(): Partial<ClusterOptions> {
    return {
      settings: {
        lease_term_ms: LEASE_TERM_MS,
        weight_loads_per_s: LOADS_PER_S,
        weight_loads_burst: LOADS_PER_S,
      },
      editObjects: (objects) => objects.map(editObject),
    };
  }

  override faultsAt(): readonly string[] {
    return [
      ...common_faults,
      ...engine_fault_names,
      ...repeated_faults,
      ...paired_faults,
    ];
  }

  override async run(cell: Cell): Promise<Verdict> {
    const { fault, world } = cell;
    const setUpStep = stepSetups[cell.step];
    if (setUpStep === undefined) throw new Error(`no step ${cell.step}`);
    const site = await world.siteOf(world.engines[0]?.name ?? "");
    const traffic = this.#startTraffic(cell);
    await world.sleep(BEFORE_FAULT_MS);
    const undo = await setUpStep(world, site);
    await world.sleep(SLOW_LOAD_MS);
    const before = countOrders(await readEngines(world), "load");
    const lift = await fault.inject(world, site);
    await world.sleep(fault.hold_ms);
    await lift();
    await undo();
    await world.sleep(AFTER_FAULT_MS);
    return await this.#evaluate(cell, { traffic, before });
  }

  async #evaluate(
    { world }: Cell,
    run: { readonly traffic: Traffic; readonly before: number },
  ): Promise<Verdict> {
    const views = await run.traffic.stop();
    const records = await readEngines(world);
    const versionsOf = (route: string) => world.versionsOf(route);
    return {
      is_reached: run.before > 0 && views.some(isWhole),
      violations: [
        ...checkEngines(world, records),
        ...checkAnswers(views, { versionsOf }),
        ...await this.#checkForeignKey(world),
      ],
      counts: {
        sent: views.length,
        whole: views.filter(isWhole).length,
        ran: requestsOf(records).filter((request) => request.ran).length,
        loads: countOrders(records, "load"),
        evictions: countOrders(records, "evict"),
      },
    };
  }

  /** Sends a request for an adapter with another workspace's key, which must be
   * refused. */
  async #checkForeignKey(world: World): Promise<readonly string[]> {
    const [route] = pickRoutes(world);
    if (route === undefined) return [];
    const other = world.cluster.objects.keys
      .find((key) => key.workspace !== route.workspace);
    const result = await world.caller.call({
      path: "/v1/completions",
      key: other?.key ?? "",
      url: world.instance(world.runningIndexes()[0] ?? 0).caller_url,
      body: { model: route.route, prompt: "not mine", max_tokens: 1 },
      timeout_ms: TIMEOUT_MS,
    }).catch(() => undefined);
    if (result === undefined || result.status !== 200) return [];
    return [`${route.route} ran for ${other?.workspace}`];
  }

  #startTraffic({ random, world }: Cell): Traffic {
    const routes = pickRoutes(world);
    const count = world.cluster.instances.length;
    return new Traffic(world, {
      completions_per_s: REQUESTS_PER_S,
      at_once: MAX_CONCURRENT,
      random,
      next: (number) => {
        const route = routes[Math.floor(random() * routes.length)];
        if (route === undefined) throw new Error("no routes");
        return {
          route,
          prompt: promptOf(PROMPT_TOKENS + number % PROMPT_TOKENS),
          max_tokens: MAX_TOKENS,
          stream: number % 2 === 0,
          entry: Math.floor(random() * count),
          timeout_ms: TIMEOUT_MS,
        };
      },
    });
  }
}
