/** Checks that an accepted configuration is in force at every instance within a
 * bound, is never reverted, and never takes effect in part.
 *
 * @module
 */
import { monotonicMs, type StoreFaults } from "@banyanlb/standins";
import { type ClusterOptions, waitUntil } from "../../harness/cluster.ts";
import {
  CHANGED_WORKSPACE,
  ChangeLoop,
  type ChangeView,
} from "../change_loop.ts";
import {
  common_faults,
  paired_faults,
  repeated_faults,
} from "../faults/all.ts";
import type { FaultSite } from "../faults/fault.ts";
import {
  checkConfiguration,
  listingsOf,
} from "../checks/configuration_check.ts";
import { pickOperatorIndex } from "../operator_edits.ts";
import { Prober } from "../prober.ts";
import { type Cell, PropertyTrial, type Verdict } from "../property_trial.ts";
import { addRegionalCallers } from "../regional_callers.ts";
import type { World } from "../world.ts";

/** Time within which a change must be in force at every instance, for a
 * deployment of this size. */
const IN_FORCE_MS = 3_000;
const BEFORE_FAULT_MS = 3_000;
const AFTER_BOUND_MS = 1_000;
const PROBE_INTERVAL_MS = 50;
const PROBE_TIMEOUT_MS = 10_000;
const STORE_DELAY_MS = 300;
const RECOVERY_LIMIT_MS = 25_000;
const LEASE_TERM_MS = 4_000;

interface Step {
  readonly store?: StoreFaults;
  /** True if the entry is killed and restarted during the fault. */
  readonly restarts?: boolean;
}

const steps: Readonly<Record<string, Step>> = {
  published: {},
  write_under_way: { store: { delay_ms: STORE_DELAY_MS } },
  write_taken: { store: { answer_delay_ms: STORE_DELAY_MS } },
  restart: { restarts: true },
};

function pickSecondOperator(
  world: World,
  site: FaultSite,
  first: number,
): number {
  const found = world.runningIndexes()
    .find((i) => i !== first && i !== site.entry && i !== site.owner);
  return found ?? site.entry;
}

/** Kills and restarts an instance during the fault. The restart may not succeed
 * until the fault is lifted. */
async function restartDuringFault(world: World, index: number): Promise<void> {
  await world.instance(index).process?.kill();
  await world.restartInstance(index).catch(() => undefined);
}

/** Publishes competing changes at two instances under every fault, and probes
 * every instance for the configuration in force. */
export class Configuration extends PropertyTrial {
  override readonly name = "configuration";
  override readonly steps = Object.keys(steps);
  override readonly quick = [
    "write_taken/lost_answer_manifest",
    "restart/store_refuses",
  ];
  override readonly mutations = {
    edit_conflict_ignored: "published/none",
    references_not_checked: "published/none",
    changes_not_followed: "published/none",
  };

  override clusterOptions(): Partial<ClusterOptions> {
    return { settings: { lease_term_ms: LEASE_TERM_MS } };
  }

  override faultsAt(): readonly string[] {
    return [...common_faults, ...repeated_faults, ...paired_faults];
  }

  override async run(cell: Cell): Promise<Verdict> {
    const { world } = cell;
    await addRegionalCallers(world);
    const step = steps[cell.step];
    if (step === undefined) throw new Error(`no step ${cell.step}`);
    const site = await world.siteOf(world.engines[0]?.name ?? "");
    const first_operator = pickOperatorIndex(world, [site.entry, site.owner]);
    const second_operator = pickSecondOperator(world, site, first_operator);
    const tag = `cfg${Math.floor(cell.random() * 1e9)}`;
    const key = world.cluster.keyOf(CHANGED_WORKSPACE);
    const request = {
      method: "GET",
      path: "/v1/models",
      key,
      timeout_ms: PROBE_TIMEOUT_MS,
    } as const;
    const every_ms = PROBE_INTERVAL_MS;
    const prober = new Prober(world, { pause_ms: every_ms, request });
    const loop = new ChangeLoop(world, {
      operators: [first_operator, second_operator],
      tag,
    });
    await world.cluster.store.setFaults(step.store ?? {});
    await world.sleep(BEFORE_FAULT_MS);
    const accepted_before =
      loop.views.filter((v) => v.outcome === "accepted").length;
    // Restarts an instance at which neither operator publishes.
    const restarted = step.restarts
      ? restartDuringFault(world, site.entry)
      : undefined;
    await this.#injectAndLift(cell, site);
    await restarted;
    const recovery_violations = await this.#waitForRecovery(cell, {
      loop,
      prober,
      tag,
    });
    const views = await loop.stop();
    await world.sleep(IN_FORCE_MS + AFTER_BOUND_MS);
    const probes = await prober.stop();
    const nameOf = (index: number) => world.instance(index).name;
    return {
      is_reached: accepted_before > 0,
      violations: [
        ...checkConfiguration(probes, views, {
          tag,
          propagation_limit_ms: IN_FORCE_MS,
          nameOf,
        }),
        ...recovery_violations,
      ],
      counts: countViews(views, listingsOf(probes, tag).length),
    };
  }

  async #injectAndLift({ fault, world }: Cell, site: FaultSite): Promise<void> {
    const lift = await fault.inject(world, site);
    await world.sleep(fault.hold_ms);
    await lift();
    const no_delay = { delay_ms: 0, answer_delay_ms: 0 };
    await world.cluster.store.setFaults(no_delay);
  }

  /** Waits until, after the fault is lifted, changes are accepted and every
   * instance serves again. Returns a violation if that takes too long. */
  async #waitForRecovery(
    { world }: Cell,
    run: {
      readonly loop: ChangeLoop;
      readonly prober: Prober;
      readonly tag: string;
    },
  ): Promise<readonly string[]> {
    const { loop, prober, tag } = run;
    const lifted_ms = monotonicMs();
    const instance_count = world.cluster.instances.length;
    const isServing = () => {
      const sights = listingsOf(prober.probes, tag)
        .filter((sight) => sight.sent_ms > lifted_ms);
      return new Set(sights.map((sight) => sight.instance)).size ===
        instance_count;
    };
    const isAccepting = () =>
      loop.views.some((view) =>
        view.outcome === "accepted" && view.replied_ms > lifted_ms
      );
    try {
      await waitUntil(() => isServing() && isAccepting(), {
        what: "every instance serves and changes are accepted again",
        limit_ms: RECOVERY_LIMIT_MS,
      });
      return [];
    } catch (cause) {
      return [String(cause)];
    }
  }
}

function countViews(
  views: readonly ChangeView[],
  sights: number,
): Readonly<Record<string, number>> {
  const count = (outcome: string) =>
    views.filter((view) => view.outcome === outcome).length;
  return {
    sights,
    accepted: count("accepted"),
    conflict: count("conflict"),
    rejected: count("rejected"),
    unknown: count("unknown"),
    not_published: count("not_published"),
  };
}
