/** Checks that requests with known keys for loaded adapters are served during a
 * long outage of the store.
 *
 * @module
 */
import { monotonicMs, type StoreFaults } from "@banyanlb/standins";
import { type ClusterOptions, waitUntil } from "../../harness/cluster.ts";
import { promptOf, routesOf } from "../completions.ts";
import { isServed } from "../checks/shutdown_check.ts";
import { bodyOf } from "../keep_alive_connection.ts";
import { type Probe, Prober } from "../prober.ts";
import { type Cell, PropertyTrial, type Verdict } from "../property_trial.ts";
import { addRegionalCallers } from "../regional_callers.ts";
import type { World } from "../world.ts";

const WORKSPACE = "large-buyer";
/** Length of the outage in lease terms; ten minutes at the default of 6 s. */
const OUTAGE_TERMS = 100;
const LEASE_TERM_MS = 600;
/** The default of 900 s, scaled down like the lease term. */
const LEASE_LAST_TERM_MS = 90_000;
const PROBE_INTERVAL_MS = 250;
const WARM_UP_LIMIT_MS = 15_000;
const AFTER_OUTAGE_MS = 1_000;
const MS_PER_S = 1_000;

const outages: Readonly<Record<string, StoreFaults>> = {
  refuses: { outage: "refuse" },
  hangs: { outage: "hang" },
};

/** Sends requests for a loaded adapter to every instance all the time. */
export class StoreOutage extends PropertyTrial {
  override readonly name = "store_outage";
  override readonly steps = Object.keys(outages);
  override readonly quick = [];
  override readonly mutations = { outage_evidence_ignored: "refuses/none" };

  override clusterOptions(): Partial<ClusterOptions> {
    return {
      settings: {
        lease_term_ms: LEASE_TERM_MS,
        lease_last_term_ms: LEASE_LAST_TERM_MS,
      },
    };
  }

  override faultsAt(): readonly string[] {
    return ["none"];
  }

  override async run({ step, world }: Cell): Promise<Verdict> {
    const faults = outages[step];
    if (faults === undefined) throw new Error(`no step ${step}`);
    await addRegionalCallers(world);
    const prober = this.#startProber(world);
    const is_warm = await this.#waitUntilWarm(world, prober);
    const before = prober.probes.length;
    const outage_start_ms = monotonicMs();
    await world.cluster.store.setFaults(faults);
    await this.#waitForOutageEnd(world, { prober, before });
    await world.cluster.store.setFaults({ outage: "none" });
    await world.sleep(AFTER_OUTAGE_MS);
    const probes = (await prober.stop()).slice(before);
    const failed = probes.filter(({ answer }) => !isServed(answer));
    return {
      is_reached: is_warm,
      violations: this.#describeFailures(world, failed, outage_start_ms),
      counts: {
        outage_s: OUTAGE_TERMS * LEASE_TERM_MS / MS_PER_S,
        asked: probes.length,
        failed: failed.length,
      },
    };
  }

  /** Waits until the time of the outage is over or a request has failed. */
  async #waitForOutageEnd(
    world: World,
    run: { readonly prober: Prober; readonly before: number },
  ): Promise<void> {
    const until = performance.now() + OUTAGE_TERMS * LEASE_TERM_MS;
    const hasFailed = () =>
      run.prober.probes.slice(run.before)
        .some(({ answer }) => !isServed(answer));
    while (performance.now() < until && !hasFailed()) {
      await world.sleep(PROBE_INTERVAL_MS);
    }
  }

  #startProber(world: World): Prober {
    const request = {
      path: "/v1/completions",
      key: world.cluster.keyOf(WORKSPACE),
      body: JSON.stringify({
        model: routesOf(world, WORKSPACE)[0]?.route,
        prompt: promptOf(2),
        max_tokens: 2,
      }),
    };
    return new Prober(world, { pause_ms: PROBE_INTERVAL_MS, request });
  }

  async #waitUntilWarm(world: World, prober: Prober): Promise<boolean> {
    const isWarm = () => {
      const served = prober.probes.filter(({ answer }) => isServed(answer));
      const instances = new Set(served.map((probe) => probe.instance));
      return instances.size === world.cluster.instances.length;
    };
    return await waitUntil(isWarm, {
      what: "every instance serves the adapter",
      limit_ms: WARM_UP_LIMIT_MS,
    }).then(() => true, () => false);
  }

  #describeFailures(
    world: World,
    failed: readonly Probe[],
    outage_start_ms: number,
  ): readonly string[] {
    const texts = failed.map(({ instance, answer }) => {
      const { name } = world.instance(instance);
      const body_excerpt = bodyOf(answer).slice(0, 120);
      const at = (answer.sent_ms - outage_start_ms).toFixed(0);
      return `${name}: a known key was not served ${at} ms into the outage: ` +
        `${answer.status} ${body_excerpt}`;
    });
    return [...new Set(texts)];
  }
}
