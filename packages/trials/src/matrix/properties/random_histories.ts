/** Injects faults at random times into a whole cluster while completions and
 * orders run, and checks several properties at once.
 *
 * @module
 */
import type { ConfigObject } from "@banyanlb/core";
import type { ClusterOptions } from "../../harness/cluster.ts";
import { promptOf, routesOf } from "../completions.ts";
import { checkAnswers, isWhole } from "../checks/answer_check.ts";
import {
  checkEngines,
  readEngines,
  requestsOf,
} from "../checks/engine_check.ts";
import {
  type AttemptView,
  checkExecutions,
  readServiceCalls,
} from "../checks/execution_check.ts";
import { arrivalsOf, checkRate } from "../checks/rate_check.ts";
import { type Cell, PropertyTrial, type Verdict } from "../property_trial.ts";
import { Traffic } from "../traffic.ts";
import { sendAttempt } from "./at_most_once.ts";

const HISTORY_COUNT = 20;
const LEASE_TERM_MS = 2_000;
const ADAPTER_SLOTS = 2;
const LOADS_PER_S = 40;
const CHARS_PER_TOKEN = 4;
const ROUTES_PER_WORKSPACE = 3;
const REQUESTS_PER_S = 25;
const MAX_CONCURRENT = 80;
const PROMPT_TOKENS = 8;
const MAX_TOKENS = 40;
const TIMEOUT_MS = 12_000;
const BEFORE_FAULT_MS = 1_500;
const AFTER_FAULT_MS = 2_500;
const MAX_ORDER_PAUSE_MS = 120;
const REPEAT_PROBABILITY = 0.5;

/** A workspace that sends several times its rate limit. */
const LIMITED_WORKSPACE = "thu-duc";
const LIMITS = { rate_tokens_per_s: 200, burst_tokens: 1_000 };

function editObject(object: ConfigObject): ConfigObject {
  if (object.kind === "model") {
    return { ...object, min_bytes_per_token: CHARS_PER_TOKEN };
  }
  if (object.kind === "workspace" && object.name === LIMITED_WORKSPACE) {
    return { ...object, ...LIMITS };
  }
  if (object.kind !== "target" || object.type !== "engine") return object;
  return { ...object, adapter_slots: ADAPTER_SLOTS };
}

/** Sends orders until stopped, many of them twice. */
class OrderSender {
  readonly #cell: Cell;
  readonly #attempts: Promise<AttemptView>[] = [];
  readonly #task: Promise<void>;
  #isStopped = false;

  constructor(cell: Cell) {
    this.#cell = cell;
    this.#task = this.#run();
  }

  async stop(): Promise<readonly AttemptView[]> {
    this.#isStopped = true;
    await this.#task;
    return await Promise.all(this.#attempts);
  }

  async #run(): Promise<void> {
    const { fault, random, world } = this.#cell;
    for (let number = 0; !this.#isStopped; number++) {
      const key = `${fault.name}-${number}`;
      this.#send(key);
      await world.sleep(random() * MAX_ORDER_PAUSE_MS);
      if (random() < REPEAT_PROBABILITY) this.#send(key);
    }
  }

  #send(key: string): void {
    const { random, world } = this.#cell;
    const index = Math.floor(random() * world.cluster.instances.length);
    const url = world.instance(index).caller_url;
    this.#attempts.push(sendAttempt(world, { key, url }));
  }
}

/** Checks executions, rates, engines and responses under random faults. */
export class RandomHistories extends PropertyTrial {
  override readonly name = "random_histories";
  override readonly steps = ["any"];
  override readonly quick = [];
  override readonly mutations = {};

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
    return Array.from({ length: HISTORY_COUNT }, (_, i) => `random-${i + 1}`);
  }

  override async run(cell: Cell): Promise<Verdict> {
    const { fault, world } = cell;
    const traffic = this.#startTraffic(cell);
    const orders = new OrderSender(cell);
    await world.sleep(BEFORE_FAULT_MS);
    const site = { entry: 0, owner: 0, target: "" };
    const lift = await fault.inject(world, site);
    await lift();
    await world.sleep(AFTER_FAULT_MS);
    const attempts = await orders.stop();
    const views = await traffic.stop();
    const records = await readEngines(world);
    const calls = await readServiceCalls(world);
    const arrivals = arrivalsOf(requestsOf(records), LIMITED_WORKSPACE);
    return {
      is_reached: views.some(isWhole),
      violations: [
        ...checkExecutions(attempts, calls),
        ...checkRate(arrivals, LIMITS),
        ...checkEngines(world, records),
        ...checkAnswers(views),
      ],
      counts: {
        orders: attempts.length,
        executed: calls.filter((call) => call.executed !== undefined).length,
        sent: views.length,
        whole: views.filter(isWhole).length,
        ran: requestsOf(records).filter((request) => request.ran).length,
      },
    };
  }

  #startTraffic({ random, world }: Cell): Traffic {
    const workspaces = [
      LIMITED_WORKSPACE,
      LIMITED_WORKSPACE,
      "large-buyer",
      "hanoi-satchels",
    ];
    const count = world.cluster.instances.length;
    const pick = <T>(list: readonly T[]) =>
      list[Math.floor(random() * list.length)] as T;
    return new Traffic(world, {
      completions_per_s: REQUESTS_PER_S,
      at_once: MAX_CONCURRENT,
      random,
      next: () => {
        const workspace = pick(workspaces);
        const routes = routesOf(world, workspace)
          .slice(0, ROUTES_PER_WORKSPACE);
        return {
          route: pick(routes),
          prompt: promptOf(PROMPT_TOKENS),
          max_tokens: MAX_TOKENS,
          stream: random() < 0.5,
          entry: Math.floor(random() * count),
          timeout_ms: TIMEOUT_MS,
        };
      },
    });
  }
}
