/** Checks that an owner which was frozen for longer than its leases has no
 * order executed under the old ones, that no adapter in use is evicted, and
 * that the loads of the whole fleet stay within the limits of the weight store.
 *
 * @module
 */
import { monotonicMs } from "@banyanlb/standins";
import { type ClusterOptions, waitUntil } from "../../harness/cluster.ts";
import { promptOf, routesOf } from "../completions.ts";
import {
  engine_fault_names,
  paired_faults,
  repeated_faults,
} from "../faults/all.ts";
import { isWhole } from "../checks/answer_check.ts";
import { checkEngines, readEngines } from "../checks/engine_check.ts";
import {
  checkLoads,
  checkOrders,
  measureTakeoverMs,
  type WeightLoad,
} from "../checks/order_and_load_check.ts";
import { type Cell, PropertyTrial, type Verdict } from "../property_trial.ts";
import { Traffic } from "../traffic.ts";
import type { World } from "../world.ts";

const WORKSPACE = "large-buyer";
const ADAPTER_COUNT = 120;
const BEFORE_FAULT_MS = 2_500;
const AFTER_FAULT_MS = 4_000;
const RECOVERY_LIMIT_MS = 20_000;
const REQUESTS_PER_S = 20;
const MAX_CONCURRENT = 60;
const MAX_TOKENS = 20;
const SLOW_TOKEN_MS = 20;
const SLOW_LOAD_MS = 700;

interface Step {
  /** Pool of the target whose owner the faults affect. */
  readonly pool: string;
  readonly load_delay_ms: number;
}

/** The engines of the pool "assistant" check fencing tokens, those of the pool
 * "order" do not. */
const steps: Readonly<Record<string, Step>> = {
  evicting_checked: { pool: "assistant", load_delay_ms: 0 },
  evicting_unchecked: { pool: "order", load_delay_ms: 0 },
  loading_checked: { pool: "assistant", load_delay_ms: SLOW_LOAD_MS },
  loading_unchecked: { pool: "order", load_delay_ms: SLOW_LOAD_MS },
};

const faults: readonly string[] = [
  "none",
  "freeze_owner",
  "kill_owner",
  "stop_owner",
  "freeze_entry",
  "kill_entry",
  "cut_store",
  "cut_store_answers",
  "cut_peers",
  "cut_peers_one_way",
  "cut_target",
  "cut_target_answers",
  "cut_regions",
  "store_refuses",
  "store_hangs",
  "store_slow",
  "store_answers_slowly",
  "lost_answer_session",
  "lost_answer_fleet",
  ...engine_fault_names,
  ...repeated_faults,
  ...paired_faults,
];

/** Uses many adapters in few adapter slots, so that engines load and evict all
 * the time. */
export class Ownership extends PropertyTrial {
  override readonly name = "ownership";
  override readonly steps = Object.keys(steps);
  override readonly quick = ["evicting_unchecked/freeze_owner"];
  override readonly mutations = {
    load_budget_ignored: "evicting_checked/none",
    lease_never_lapses: "loading_unchecked/freeze_owner",
  };

  override clusterOptions(): Partial<ClusterOptions> {
    return { adapters: ADAPTER_COUNT };
  }

  override faultsAt(): readonly string[] {
    return faults;
  }

  override async run(cell: Cell): Promise<Verdict> {
    const { fault, world } = cell;
    const step = steps[cell.step];
    if (step === undefined) throw new Error(`no step ${cell.step}`);
    const target = world.engines
      .find(({ planned }) => planned.pool.name === step.pool)?.name ?? "";
    const { load_delay_ms } = step;
    for (const { control } of world.engines) {
      await control.setFaults({ slow_token_ms: SLOW_TOKEN_MS, load_delay_ms });
    }
    const site = await world.siteOf(target);
    const traffic = this.#startTraffic(cell);
    await world.sleep(BEFORE_FAULT_MS);
    const reached = await this.#hasReceivedOrders(world, target);
    const struck_ms = monotonicMs();
    const lift = await fault.inject(world, site);
    await world.sleep(fault.hold_ms);
    await lift();
    await world.sleep(AFTER_FAULT_MS);
    const recovery_violations = await this.#checkRecovery(traffic);
    const views = await traffic.stop();
    const records = await readEngines(world);
    const { loads } = await world.cluster.weights.record<
      { readonly loads: readonly WeightLoad[] }
    >();
    const { weights } = world.cluster.deployment;
    const orders = records.flatMap(({ record }) => record.orders);
    return {
      is_reached: reached,
      violations: [
        ...checkOrders(records),
        ...checkEngines(world, records),
        ...checkLoads(loads, {
          rate_tokens_per_s: weights.loads_per_s,
          burst_tokens: weights.loads_per_s * 2,
        }),
        ...recovery_violations,
      ],
      counts: {
        sent: views.length,
        served: views.filter(isWhole).length,
        orders: orders.length,
        evicted: orders.filter((row) => row.result === "evicted").length,
        fenced: orders.filter((row) => row.result === "fenced").length,
        loads: loads.length,
        in_flight: Math.max(0, ...loads.map((load) => load.in_flight)),
        take_over_ms: measureTakeoverMs(records, {
          target,
          injected_ms: struck_ms,
        }),
      },
    };
  }

  async #hasReceivedOrders(world: World, target: string): Promise<boolean> {
    const records = await readEngines(world);
    return records.some((row) =>
      row.target === target && row.record.orders.length > 0
    );
  }

  /** Waits until requests are served again. Instances that do nothing would
   * violate no other check. */
  async #checkRecovery(traffic: Traffic): Promise<readonly string[]> {
    const now_ms = monotonicMs();
    const isServed = () =>
      traffic.views.some((view) => view.sent_ms > now_ms && isWhole(view));
    const options = {
      what: "requests are served",
      limit_ms: RECOVERY_LIMIT_MS,
    };
    return await waitUntil(isServed, options)
      .then(() => [], (cause) => [String(cause)]);
  }

  #startTraffic({ random, world }: Cell): Traffic {
    const routes = routesOf(world, WORKSPACE);
    const count = world.cluster.instances.length;
    return new Traffic(world, {
      completions_per_s: REQUESTS_PER_S,
      at_once: MAX_CONCURRENT,
      random,
      next: (number) => {
        const route = routes[Math.floor(random() * routes.length)];
        if (route === undefined) throw new Error(`no route of ${WORKSPACE}`);
        return {
          route,
          prompt: promptOf(1 + number),
          max_tokens: MAX_TOKENS,
          stream: number % 2 === 0,
          entry: Math.floor(random() * count),
        };
      },
    });
  }
}
