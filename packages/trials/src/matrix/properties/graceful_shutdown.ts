/** Checks that a graceful stop cuts off no request, and that steering stops
 * listing the instance within a bound.
 *
 * @module
 */
import { monotonicMs } from "@banyanlb/standins";
import {
  type ClusterInstance,
  type ClusterOptions,
  waitUntil,
} from "../../harness/cluster.ts";
import { promptOf, routesOf } from "../completions.ts";
import type { FaultSite } from "../faults/fault.ts";
import {
  checkCutRequests,
  checkSteering,
  isServed,
  type NamedResponse,
} from "../checks/shutdown_check.ts";
import { KeepAliveConnection } from "../keep_alive_connection.ts";
import { Prober } from "../prober.ts";
import { type Cell, PropertyTrial, type Verdict } from "../property_trial.ts";
import { request_steps, startRequests } from "../request_steps.ts";
import { SteadyCallers } from "../steady_callers.ts";
import { addRegionalCallers } from "../regional_callers.ts";
import type { World } from "../world.ts";

const WORKSPACE = "hanoi-satchels";
const STEADY_WORKSPACE = "large-buyer";
/** Time after the stop from which no steering response may list the
 * instance. */
const STEERING_BOUND_MS = 1_000;
const BEFORE_STOP_MS = 200;
const AFTER_EXIT_MS = 1_000;
const PROBE_INTERVAL_MS = 100;
const IDLE_SEND_DELAY_MS = 50;
const EXIT_LIMIT_MS = 35_000;
const TOKENS = 50;
const SLOW_LOAD_MS = 3_000;
const AFTER_FREEZE_TOKENS = 120;

/** Faults that do not by themselves cut off requests of the stopping
 * instance. */
const faults: readonly string[] = [
  "none",
  "stop_owner",
  "stop_entry",
  "kill_entry",
  "freeze_owner",
  "freeze_entry",
  "cut_store",
  "cut_peers",
  "cut_peers_one_way",
  "store_refuses",
  "store_hangs",
  "store_slow",
  "store_answers_slowly",
  "lost_answer_session",
  "lost_answer_fleet",
  "two_operators",
  "stop_entry+store_hangs",
  "freeze_owner+store_refuses",
  "kill_entry+store_hangs",
];

/** Faults under which the stop is announced to the other instances at once. */
const ANNOUNCED_STOP_FAULTS = [
  "none",
  "stop_owner",
  "two_operators",
  "stop_entry",
];

/** Faults that kill another instance and thus the requests that it serves. */
const KILLS_OTHER_INSTANCE = /kill_entry/;

const SESSION_LOST = "session_lost";

/** Returns the session id of an instance in the member list of another. */
async function findSessionId(
  world: World,
  names: { readonly name: string; readonly via: number },
): Promise<string | undefined> {
  const { client } = world.cluster.operator(names.via);
  const rows = await client.operator.instances.query().catch(() => []);
  return rows.find((row) => row.instance === names.name)?.id;
}

/** Freezes an instance that is serving requests until another instance has
 * ended its session, then waits until it has joined again with a new
 * session. */
async function loseSession(world: World, site: FaultSite): Promise<void> {
  const { name, process } = world.instance(site.owner);
  const names = { name, via: site.entry };
  const first = await findSessionId(world, names);
  process?.signal("SIGSTOP");
  await waitUntil(async () => await findSessionId(world, names) === undefined, {
    what: "another instance ends the session",
  });
  process?.signal("SIGCONT");
  await waitUntil(async () => {
    const id = await findSessionId(world, names);
    return id !== undefined && id !== first;
  }, { what: "the instance joins again" });
}

async function waitForExit(
  world: World,
  { name, process }: Pick<ClusterInstance, "name" | "process">,
): Promise<readonly string[]> {
  const timeout = world.sleep(EXIT_LIMIT_MS).then(() => "late" as const);
  const status = await Promise.race([process?.exited, timeout]);
  if (status === "late") {
    return [`${name} did not exit within ${EXIT_LIMIT_MS} ms`];
  }
  if (status?.code === 0) return [];
  return [`${name} exited with ${status?.code ?? status?.signal}`];
}

/** Stops the owner of a target while it also serves requests as an entry. */
export class GracefulShutdown extends PropertyTrial {
  override readonly name = "graceful_shutdown";
  override readonly steps = [...Object.keys(request_steps), SESSION_LOST];
  override readonly quick = ["streaming/none"];
  override readonly mutations = {
    stop_waits_for_no_request: "streaming/none",
    stop_is_not_announced: "idle/none",
  };

  override clusterOptions(): Partial<ClusterOptions> {
    return {
      editObjects: (objects) =>
        objects.map((object) =>
          object.kind === "target" && object.type === "engine"
            ? { ...object, max_running: 4 }
            : object
        ),
    };
  }

  override faultsAt(step: string): readonly string[] {
    return step === SESSION_LOST ? ["none", "store_hangs"] : faults;
  }

  override async run(cell: Cell): Promise<Verdict> {
    const { fault, world } = cell;
    await addRegionalCallers(world);
    const site = await world.siteOf(world.engines[0]?.name ?? "");
    const stopped = site.owner;
    const loses_session = cell.step === SESSION_LOST;
    const idle = new KeepAliveConnection(world, stopped);
    await this.#sendShort(world, idle);
    const requests = await startRequests(world, {
      step: loses_session ? "streaming" : cell.step,
      key: world.cluster.keyOf(WORKSPACE),
      routes: routesOf(world, WORKSPACE),
      tokens: loses_session ? AFTER_FREEZE_TOKENS : TOKENS,
      slow_ms: SLOW_LOAD_MS,
    });
    const callers = new SteadyCallers(world, {
      workspace: STEADY_WORKSPACE,
      random: cell.random,
    });
    const steering = this.#probeSteering(world, stopped);
    if (loses_session) await loseSession(world, site);
    const injected = fault.inject(world, site);
    await world.sleep(BEFORE_STOP_MS);
    const { name, process, caller_url } = world.instance(stopped);
    process?.signal("SIGTERM");
    const stopped_ms = monotonicMs();
    requests.release();
    await world.sleep(IDLE_SEND_DELAY_MS);
    const idle_answer = await this.#sendShort(world, idle);
    const lift = await injected;
    await world.sleep(fault.hold_ms);
    // A frozen process handles SIGTERM only after it is resumed.
    const lifts_before_exit = fault.name.includes("freeze_owner");
    if (lifts_before_exit) await lift();
    const exit_violations = await waitForExit(world, { name, process });
    const exit_ms = Math.round(monotonicMs() - stopped_ms);
    const probes = await steering.stop();
    if (!lifts_before_exit) await lift();
    await world.sleep(AFTER_EXIT_MS);
    const steady_violations = await callers.stop();
    const answers = await requests.answers();
    await idle.close();
    const stopped_answer = answers[stopped];
    const under_way =
      stopped_answer !== undefined && stopped_answer.ended_ms > stopped_ms
        ? 1
        : 0;
    const rows = this.#nameAnswers(world, site, { fault: fault.name, answers });
    const is_plain = fault.name === "none" || fault.name === "stop_owner";
    const idle_request = {
      name: "a request on an idle connection",
      answer: idle_answer,
    };
    const checks_steering = ANNOUNCED_STOP_FAULTS.includes(fault.name) &&
      !loses_session;
    return {
      // A request that ended before the stop shows nothing.
      is_reached: requests.is_reached && (!loses_session || under_way > 0),
      violations: [
        ...checkCutRequests(rows, is_plain),
        ...checkCutRequests(
          is_plain && !loses_session ? [idle_request] : [],
          true,
        ),
        ...steady_violations,
        ...exit_violations,
        ...(checks_steering
          ? checkSteering(probes, {
            url: caller_url,
            from_ms: stopped_ms + STEERING_BOUND_MS,
          })
          : []),
      ],
      counts: {
        requests: answers.length,
        under_way,
        served: answers.filter(isServed).length,
        steady: callers.served_count,
        steered: probes.length,
        exit_ms,
      },
    };
  }

  #sendShort(world: World, connection: KeepAliveConnection) {
    const route = routesOf(world, STEADY_WORKSPACE)[0];
    return connection.send({
      path: "/v1/completions",
      key: world.cluster.keyOf(STEADY_WORKSPACE),
      body: JSON.stringify({
        model: route?.route,
        prompt: promptOf(1),
        max_tokens: 1,
      }),
    });
  }

  #probeSteering(world: World, stopped: number): Prober {
    const instances = world.cluster.instances.flatMap((_, i) =>
      i === stopped ? [] : [i]
    );
    return new Prober(world, {
      pause_ms: PROBE_INTERVAL_MS,
      instances,
      request: { method: "GET", path: "/v1/steering", timeout_ms: 5_000 },
    });
  }

  /** Names the responses by their entry instance, without those of an instance
   * that the fault kills. */
  #nameAnswers(
    world: World,
    site: FaultSite,
    run: {
      readonly fault: string;
      readonly answers: readonly NamedResponse["answer"][];
    },
  ): readonly NamedResponse[] {
    const ends_entry = KILLS_OTHER_INSTANCE.test(run.fault);
    return run.answers.flatMap((answer, i) => {
      if (ends_entry && i === site.entry) return [];
      return [{ name: `a request via ${world.instance(i).name}`, answer }];
    });
  }
}
