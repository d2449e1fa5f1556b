/** Checks that every instance refuses a withdrawn key within a bound, also on
 * open connections, for queued requests and for running streams.
 *
 * @module
 */
import { hashKey, type Key } from "@banyanlb/core";
import { monotonicMs } from "@banyanlb/standins";
import { type ClusterOptions, waitUntil } from "../../harness/cluster.ts";
import { routesOf } from "../completions.ts";
import {
  common_faults,
  paired_faults,
  repeated_faults,
} from "../faults/all.ts";
import type { FaultSite } from "../faults/fault.ts";
import { readEngines } from "../checks/engine_check.ts";
import {
  checkAnswersAfter,
  checkRunsAfter,
} from "../checks/withdrawal_check.ts";
import type { TimedResponse } from "../keep_alive_connection.ts";
import {
  pickOperatorIndex,
  publishUntilAccepted,
  removeUntilGone,
} from "../operator_edits.ts";
import { Prober } from "../prober.ts";
import { type Cell, PropertyTrial, type Verdict } from "../property_trial.ts";
import { addRegionalCallers } from "../regional_callers.ts";
import {
  request_steps,
  type StartedRequests,
  startRequests,
} from "../request_steps.ts";
import type { World } from "../world.ts";

const WORKSPACE = "hanoi-satchels";
/** Time after an accepted withdrawal from which the key must be refused. */
const WITHDRAWAL_BOUND_MS = 3_000;
const BEFORE_WITHDRAWAL_MS = 300;
const AFTER_BOUND_MS = 800;
const PROBE_INTERVAL_MS = 100;
const IN_FORCE_LIMIT_MS = 15_000;
const WITHDRAW_LIMIT_MS = 45_000;
const RECOVERY_LIMIT_MS = 20_000;
const LEASE_TERM_MS = 4_000;
const STATUS_OK = 200;
const MODELS_REQUEST = { method: "GET", path: "/v1/models" } as const;

interface IssuedKey {
  readonly key: Key;
  readonly text: string;
  readonly site: FaultSite;
  readonly via: number;
}

function isServed(answer: TimedResponse | undefined): boolean {
  return answer?.status === STATUS_OK;
}

/** Publishes a key that only this cell uses. */
async function issueKey(cell: Cell): Promise<IssuedKey> {
  const { world } = cell;
  const number = Math.floor(cell.random() * 1e9);
  const text = `plain-key-to-withdraw-${number}`;
  const site = await world.siteOf(world.engines[0]?.name ?? "");
  const via = pickOperatorIndex(world, [site.entry, site.owner]);
  const key: Key = {
    kind: "key",
    name: `withdrawn-${number}`,
    workspace: WORKSPACE,
    sha256: hashKey(text),
  };
  await publishUntilAccepted(world, { put: [key], via }, IN_FORCE_LIMIT_MS);
  return { key, text, site, via };
}

/** Waits until every instance accepts a key. */
async function waitUntilServed(
  world: World,
  key: string,
  limit_ms: number,
): Promise<void> {
  const request = { ...MODELS_REQUEST, key, timeout_ms: WITHDRAWAL_BOUND_MS };
  const prober = new Prober(world, { pause_ms: PROBE_INTERVAL_MS, request });
  const instance_count = world.cluster.instances.length;
  try {
    await waitUntil(() => {
      const served = prober.probes.filter((p) => isServed(p.answer));
      return new Set(served.map((probe) => probe.instance)).size ===
        instance_count;
    }, { what: "every instance serves the key", limit_ms });
  } finally {
    await prober.stop();
  }
}

/** Injects the fault and withdraws the key while the fault lasts. Returns
 * the time at which the withdrawal was accepted, as in `monotonicMs`. */
async function withdrawUnderFault(
  cell: Cell,
  issued: IssuedKey,
): Promise<number> {
  const { fault, world } = cell;
  const { key, site, via } = issued;
  const injected = fault.inject(world, site);
  await world.sleep(BEFORE_WITHDRAWAL_MS);
  const withdrawn = removeUntilGone(
    world,
    { name: key, via },
    WITHDRAW_LIMIT_MS,
  )
    .then(() => monotonicMs());
  const lift = await injected;
  await world.sleep(fault.hold_ms);
  await lift();
  return await withdrawn;
}

/** Withdraws a key at each step of a request's life cycle. */
export class WithdrawnKey extends PropertyTrial {
  override readonly name = "withdrawn_key";
  override readonly steps = Object.keys(request_steps);
  override readonly quick = ["idle/cut_regions", "streaming/none"];
  override readonly mutations = {
    withdrawn_requests_go_on: "streaming/none",
    stale_instance_serves: "idle/cut_regions",
  };

  override clusterOptions(): Partial<ClusterOptions> {
    return {
      // Each region gets targets of its own.
      targets_per_pool: 3,
      // With this term, faults last longer than the bound.
      settings: { lease_term_ms: LEASE_TERM_MS },
      editObjects: (objects) =>
        objects.map((object) =>
          object.kind === "target" && object.type === "engine"
            ? { ...object, max_running: 2 }
            : object
        ),
    };
  }

  override faultsAt(): readonly string[] {
    return [...common_faults, ...repeated_faults, ...paired_faults];
  }

  override async run(cell: Cell): Promise<Verdict> {
    const { world } = cell;
    await addRegionalCallers(world);
    const issued = await issueKey(cell);
    const { text } = issued;
    await waitUntilServed(world, text, IN_FORCE_LIMIT_MS);
    const requests = await startRequests(world, {
      step: cell.step,
      key: text,
      routes: routesOf(world, WORKSPACE),
    });
    const request = { ...MODELS_REQUEST, key: text };
    const prober = new Prober(world, { pause_ms: PROBE_INTERVAL_MS, request });
    const accepted_ms = await withdrawUnderFault(cell, issued);
    const dead_ms = accepted_ms + WITHDRAWAL_BOUND_MS;
    await world.sleep(Math.max(0, dead_ms - monotonicMs()) + AFTER_BOUND_MS);
    requests.release();
    const probes = await prober.stop();
    const answers = await requests.answers();
    const violations = [
      ...checkAnswersAfter(
        [...probes.map((probe) => probe.answer), ...answers],
        dead_ms,
      ),
      ...await this.#checkEngines(cell, dead_ms),
      ...await this.#checkOtherKey(world),
    ];
    return {
      is_reached: requests.is_reached &&
        probes.some((probe) => isServed(probe.answer)),
      violations,
      counts: this.#count({ requests, answers, accepted_ms }, probes),
    };
  }

  /** Finds requests that ran at engines after the bound. An entry that is
   * frozen, killed or cut off cannot cancel running ones, so under these
   * faults only the starts are checked. */
  async #checkEngines(
    { fault, world }: Cell,
    dead_ms: number,
  ): Promise<readonly string[]> {
    const can_cancel = !/freeze|kill|cut/.test(fault.name);
    const records = await readEngines(world);
    return checkRunsAfter(records, {
      workspace: WORKSPACE,
      cutoff_ms: dead_ms,
      must_end: can_cancel,
    });
  }

  /** Checks that another key of the workspace is served. Instances that refuse
   * every key would violate no other check. */
  async #checkOtherKey(world: World): Promise<readonly string[]> {
    try {
      const key = world.cluster.keyOf(WORKSPACE);
      await waitUntilServed(world, key, RECOVERY_LIMIT_MS);
      return [];
    } catch {
      return ["another key of the workspace is not served again"];
    }
  }

  #count(
    run: {
      readonly requests: StartedRequests;
      readonly answers: readonly TimedResponse[];
      readonly accepted_ms: number;
    },
    probes: Prober["probes"],
  ): Readonly<Record<string, number>> {
    const served = probes.filter((probe) => isServed(probe.answer));
    const last = Math.max(
      ...served.map((probe) => probe.answer.ended_ms),
      ...run.answers.flatMap((a) => isServed(a) ? [a.ended_ms] : []),
    );
    return {
      probes: probes.length,
      served: served.length,
      requests: run.answers.length,
      last_served_after_ms: Math.round(last - run.accepted_ms),
    };
  }
}
