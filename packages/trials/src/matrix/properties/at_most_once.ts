/** Checks that a non-idempotent call is executed at most once, and that a call
 * refused as "not run" was not executed. Sends orders under every fault.
 *
 * @module
 */
import type { ConfigObject } from "@banyanlb/core";
import { monotonicMs, type PairTraffic } from "@banyanlb/standins";
import type { ServiceFaults, StoreFaults } from "@banyanlb/standins";
import { type ClusterOptions, waitUntil } from "../../harness/cluster.ts";
import {
  common_faults,
  paired_faults,
  repeated_faults,
  service_fault_names,
} from "../faults/all.ts";
import type { FaultSite } from "../faults/fault.ts";
import {
  type AttemptView,
  checkExecutions,
  readServiceCalls,
} from "../checks/execution_check.ts";
import { groupBy } from "../checks/group_by.ts";
import { type Cell, PropertyTrial, type Verdict } from "../property_trial.ts";
import type { World } from "../world.ts";

const ROUTE = "/services/confirm/orders";
const WORKSPACE = "hanoi-satchels";
const CALL_ROUNDS = 4;
const CALL_TIMEOUT_MS = 12_000;
const DEADLINE_MS = 4_000;
/** Shorter than a freeze. */
const SHORT_DEADLINE_MS = 1_500;
/** Less than the number of concurrent calls, so that some wait at the owner. */
const MAX_RUNNING = 4;
const STEP_DELAY_MS = 600;
/** Short enough that instances can renew leases and start. */
const STORE_STEP_DELAY_MS = 300;
const REACH_LIMIT_MS = 5_000;
const REPEAT_LIMIT_MS = 15_000;
const REPEAT_PAUSE_MS = 300;

/** Delays that bring calls into one step, and the check that they are there. */
interface StepSetup {
  readonly store?: StoreFaults;
  readonly service?: ServiceFaults;
  /** Returns whether the calls have reached the step. */
  readonly isReached: (world: World, site: FaultSite) => Promise<boolean>;
}

interface StoreRecord {
  readonly counts: Readonly<Record<string, { readonly calls: number }>>;
  readonly history: readonly { readonly kind: string }[];
}

async function countStoreCalls(world: World, row: string): Promise<number> {
  const record = await world.cluster.store.record<StoreRecord>();
  return record.counts[row]?.calls ?? 0;
}

async function hasIntents(world: World): Promise<boolean> {
  const { history } = await world.cluster.store.record<StoreRecord>();
  return history.some((row) => row.kind === "intent");
}

async function hasSentToService(
  world: World,
  site: FaultSite,
): Promise<boolean> {
  const { traffic } = await world.cluster.network.record<
    { readonly traffic: Readonly<Record<string, PairTraffic>> }
  >();
  const from = world.instance(site.entry).name;
  return world.services
    .some(({ name }) => (traffic[`${from}>${name}`]?.bytes ?? 0) > 0);
}

async function hasExecuted(world: World): Promise<boolean> {
  const calls = await readServiceCalls(world);
  return calls.some((call) => call.executed !== undefined);
}

const stepSetups: Readonly<Record<string, StepSetup>> = {
  arrived: { isReached: () => Promise.resolve(true) },
  intent_under_way: {
    store: { delay_ms: STORE_STEP_DELAY_MS },
    isReached: async (world) =>
      await countStoreCalls(world, "intent create") > 0,
  },
  intent_written: {
    store: { answer_delay_ms: STORE_STEP_DELAY_MS },
    isReached: (world) => hasIntents(world),
  },
  sent: { service: { delay_ms: STEP_DELAY_MS }, isReached: hasSentToService },
  executed: {
    service: { answer_delay_ms: STEP_DELAY_MS },
    isReached: hasExecuted,
  },
  answered: { store: {}, isReached: hasExecuted },
};

/** Sends one order and records the response that its caller received. */
export async function sendAttempt(
  world: World,
  options: {
    readonly key: string;
    readonly url: string;
    readonly deadline_ms?: number;
  },
): Promise<AttemptView> {
  const deadline_ms = options.deadline_ms ?? DEADLINE_MS;
  const body = JSON.stringify({ order: options.key });
  const sent_ms = monotonicMs();
  const result = await world.caller.call({
    path: ROUTE,
    key: world.cluster.keyOf(WORKSPACE),
    url: options.url,
    body,
    headers: {
      "idempotency-key": options.key,
      "x-deadline-ms": String(deadline_ms),
    },
    timeout_ms: CALL_TIMEOUT_MS,
  }).catch(() => undefined);
  return {
    key: options.key,
    body,
    not_after_ms: sent_ms + deadline_ms,
    result,
  };
}

function hasDefiniteOutcome({ result }: AttemptView): boolean {
  if (result === undefined) return false;
  return result.whole && result.not_run !== true;
}

/** Repeats a call, each time at the next instance, until its outcome is
 * definite. */
async function repeatUntilDefinite(
  world: World,
  key: string,
  first_index: number,
): Promise<readonly AttemptView[]> {
  const views: AttemptView[] = [];
  const until = performance.now() + REPEAT_LIMIT_MS;
  for (let i = first_index; performance.now() < until; i++) {
    const index = i % world.cluster.instances.length;
    const url = world.instance(index).caller_url;
    const view = await sendAttempt(world, { key, url });
    views.push(view);
    if (hasDefiniteOutcome(view)) break;
    await world.sleep(REPEAT_PAUSE_MS);
  }
  return views;
}

function editObject(object: ConfigObject): ConfigObject {
  if (object.kind !== "target" || object.type !== "service") return object;
  return { ...object, max_running: MAX_RUNNING };
}

/** Sends non-idempotent calls, some once and some to two instances at once. */
export class AtMostOnce extends PropertyTrial {
  override readonly name = "at_most_once";
  override readonly steps = Object.keys(stepSetups);
  override readonly quick = [
    "intent_written/lost_answer_intent",
    "sent/kill_entry",
    "sent/service_reset_after",
    "intent_under_way/store_hangs",
  ];
  override readonly mutations = {
    intent_conflict_ignored: "arrived/none",
    sent_call_claimed_not_run: "sent/service_reset_after",
  };

  override clusterOptions(): Partial<ClusterOptions> {
    return { editObjects: (objects) => objects.map(editObject) };
  }

  override faultsAt(): readonly string[] {
    return [
      ...common_faults,
      ...service_fault_names,
      ...repeated_faults,
      ...paired_faults,
    ];
  }

  override async run(cell: Cell): Promise<Verdict> {
    const { fault, world } = cell;
    const setup = stepSetups[cell.step];
    if (setup === undefined) throw new Error(`no step ${cell.step}`);
    const site = await world.siteOf(world.services[0]?.name ?? "");
    await world.cluster.network.reset();
    await this.#applyDelays(world, setup);
    const tag = `${cell.step}-${fault.name}-${Math.floor(cell.random() * 1e9)}`;
    const calls_under_way = this.#startCalls(world, { site, tag });
    const reached = await this.#waitForStep(cell, { setup, site });
    const lift = await fault.inject(world, site);
    await world.sleep(fault.hold_ms);
    await this.#applyDelays(world, { ...setup, store: {}, service: {} });
    await lift();
    const first = await Promise.all(calls_under_way);
    const views = [...first, ...await this.#repeatDoubledCalls(world, first)];
    await world.sleep(STEP_DELAY_MS);
    const calls = await readServiceCalls(world);
    return {
      is_reached: reached,
      violations: [...checkExecutions(views, calls), ...checkRecovery(views)],
      counts: {
        attempts: views.length,
        executed: calls.filter((call) => call.executed !== undefined).length,
        not_run: views.filter((view) => view.result?.not_run === true).length,
      },
    };
  }

  async #applyDelays(world: World, setup: StepSetup): Promise<void> {
    const no_delay = { delay_ms: 0, answer_delay_ms: 0 };
    await world.cluster.store.setFaults({ ...no_delay, ...setup.store });
    const running = world.services.filter((row) => row.process.running);
    for (const { control } of running) {
      await control.setFaults({ ...no_delay, ...setup.service });
    }
  }

  /** Starts single calls at the entry, and doubled calls, which the entry and
   * another instance receive at the same time. */
  #startCalls(
    world: World,
    { site, tag }: { readonly site: FaultSite; readonly tag: string },
  ): readonly Promise<AttemptView>[] {
    const url = world.instance(site.entry).caller_url;
    const other = world.instance(
      (site.entry + 1) % world.cluster.instances.length,
    ).caller_url;
    return Array.from({ length: CALL_ROUNDS }, (_, i) => [
      sendAttempt(world, {
        key: `${tag}-single-${i}`,
        url,
        deadline_ms: i % 2 === 0 ? SHORT_DEADLINE_MS : DEADLINE_MS,
      }),
      sendAttempt(world, { key: `${tag}-double-${i}`, url }),
      sendAttempt(world, { key: `${tag}-double-${i}`, url: other }),
    ]).flat();
  }

  async #waitForStep(
    { world }: Cell,
    options: { readonly setup: StepSetup; readonly site: FaultSite },
  ): Promise<boolean> {
    const { setup, site } = options;
    try {
      await waitUntil(() => setup.isReached(world, site), {
        what: "the step is reached",
        limit_ms: REACH_LIMIT_MS,
      });
      return true;
    } catch {
      return false;
    }
  }

  /** Repeats the doubled calls. A single call is never repeated, so that a "not
   * run" response to it can be checked. */
  async #repeatDoubledCalls(
    world: World,
    first: readonly AttemptView[],
  ): Promise<readonly AttemptView[]> {
    const keys = new Set(
      first.map((view) => view.key).filter((key) => key.includes("-double-")),
    );
    const repeats = [...keys].map((key, i) =>
      repeatUntilDefinite(world, key, i)
    );
    return (await Promise.all(repeats)).flat();
  }
}

/** Finds doubled calls that got no definite response. After the fault is
 * lifted, the instances must serve again. */
function checkRecovery(views: readonly AttemptView[]): readonly string[] {
  const keys = groupBy(views, (view) => view.key);
  return [...keys].filter(([key, own]) =>
    key.includes("-double-") && !own.some(hasDefiniteOutcome)
  ).map(([key]) => `${key}: no definite answer after the fault was lifted`);
}
