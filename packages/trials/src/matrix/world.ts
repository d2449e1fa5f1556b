/** The cluster of a trial with its callers, and its reset between cells.
 *
 * @module
 */
import { Caller } from "../harness/caller.ts";
import {
  Cluster,
  type ClusterInstance,
  type ClusterOptions,
  type ClusterTarget,
} from "../harness/cluster.ts";
import type { FaultSite } from "./faults/fault.ts";

/** What a world is made of. */
export interface WorldOptions {
  readonly cluster: Partial<ClusterOptions>;
  readonly random: () => number;
}

const INSTANCES = 4;
const TARGETS_PER_POOL = 2;
const ADAPTERS = 40;
const LEASE_TERM_MS = 1_000;
const LAST_TERM_MS = 60_000;
const STEERING_KEEP_MS = 500;
const SHUTDOWN_LIMIT_MS = 20_000;

/** Time beyond a lease's term for which freezes, cuts and outages last. */
const LEASE_MARGIN_MS = 1_500;

/** A running deployment that cells work on. */
export class World {
  readonly cluster: Cluster;
  readonly caller: Caller;
  readonly longer_than_lease_ms: number;
  readonly #versions = new Map<string, readonly string[]>();
  readonly #crashed = new Map<string, readonly unknown[]>();

  private constructor(cluster: Cluster, options: WorldOptions) {
    this.cluster = cluster;
    this.caller = new Caller({
      seeds: cluster.seeds,
      random: options.random,
      local_address: cluster.caller_address,
    });
    const term_ms = options.cluster.settings?.lease_term_ms ?? LEASE_TERM_MS;
    this.longer_than_lease_ms = term_ms + LEASE_MARGIN_MS;
  }

  /** Starts a cluster with short terms. */
  static async start(options: WorldOptions): Promise<World> {
    const cluster = await Cluster.start({
      deployment: "kim_quy",
      instances: INSTANCES,
      adapters: ADAPTERS,
      targets_per_pool: TARGETS_PER_POOL,
      ...options.cluster,
      settings: {
        lease_term_ms: LEASE_TERM_MS,
        lease_last_term_ms: LAST_TERM_MS,
        steering_keep_ms: STEERING_KEEP_MS,
        shutdown_limit_ms: SHUTDOWN_LIMIT_MS,
        log_level: "error",
        ...options.cluster.settings,
      },
    });
    return new World(cluster, options);
  }

  /** The regions of the deployment. */
  get regions(): readonly string[] {
    const hosting_domains = this.cluster.deployment.domains
      .filter((domain) => domain.clients !== true);
    return [...new Set(hosting_domains.map((domain) => domain.region))];
  }

  /** The targets that are plain services. */
  get services(): readonly ClusterTarget[] {
    return this.cluster.targets
      .filter(({ planned }) => planned.pool.type === "service");
  }

  /** The targets that are engines. */
  get engines(): readonly ClusterTarget[] {
    return this.cluster.targets
      .filter(({ planned }) => planned.pool.type === "engine");
  }

  /** An instance by index. Throws if there is none. */
  instance(index: number): ClusterInstance {
    const instance = this.cluster.instances[index];
    if (instance === undefined) throw new Error(`no instance ${index}`);
    return instance;
  }

  /** A target by name. Throws if there is none. */
  target(name: string): ClusterTarget {
    const target = this.cluster.targets.find((known) => known.name === name);
    if (target === undefined) throw new Error(`no target ${name}`);
    return target;
  }

  /** Versions that a route has stood for, the newest last. */
  versionsOf(route: string): readonly string[] {
    const known = this.#versions.get(route);
    if (known !== undefined) return known;
    const planned = this.cluster.objects.routes
      .find((row) => row.route === route);
    return planned === undefined ? [] : [planned.version];
  }

  /** Records that a route may stand for a further version from now on. */
  addVersion(route: string, version: string): void {
    this.#versions.set(route, [...this.versionsOf(route), version]);
  }

  /** Indexes of the instances whose processes run. */
  runningIndexes(): readonly number[] {
    return this.cluster.instances
      .flatMap((instance, i) => instance.process?.running ? [i] : []);
  }

  /** What the last lines of instances say that ended by themselves: no fault of
   * the matrix makes a process exit with an error. */
  crashes(): readonly string[] {
    return this.cluster.instances.flatMap(({ name, process }) =>
      process?.hasCrashed === true
        ? [`${name} ended by itself: ${process.log.slice(-12).join(" | ")}`]
        : []
    );
  }

  /** The site of faults that concern a target: its owner, and an entry that
   * is not its owner. */
  async siteOf(target: string): Promise<FaultSite> {
    const { client } = this.cluster.operator();
    const rows = await client.operator.targets.query();
    const name = rows.find((row) => row.target === target)?.owner ?? "";
    const found = this.cluster.instances.findIndex((i) => i.name === name);
    const owner = Math.max(0, found);
    const entry = (owner + 1) % this.cluster.instances.length;
    return { entry, owner, target };
  }

  /** Starts an instance again, if it does not run. */
  async restartInstance(index: number): Promise<void> {
    if (this.instance(index).process?.running) return;
    await this.cluster.startInstance(index);
  }

  /** Ends a target's process at once. What it received in the moment between
   * its last record and its end is not judged. */
  async crashTarget(name: string): Promise<void> {
    const record = await this.target(name).control.record<unknown>();
    await this.cluster.killTarget(name);
    this.#crashed.set(name, [...this.#crashed.get(name) ?? [], record]);
  }

  /** Everything that a target received in this cell: the records of its
   * earlier processes and its present one's, if it runs. */
  async recordsOf<T>(name: string): Promise<readonly T[]> {
    const { control, process } = this.target(name);
    const earlier = this.#crashed.get(name) ?? [];
    const present = process.running ? [await control.record<T>()] : [];
    return [...earlier as readonly T[], ...present];
  }

  /** Lifts all faults, clears all records and waits for a settled fleet. */
  async reset(): Promise<void> {
    const { cluster } = this;
    this.#crashed.clear();
    await cluster.network.reset();
    await Promise.all([cluster.store.reset(), cluster.weights.reset()]);
    for (const [index, instance] of cluster.instances.entries()) {
      instance.process?.signal("SIGCONT");
      await this.restartInstance(index);
    }
    for (const target of cluster.targets) {
      if (!target.process.running) await cluster.restartTarget(target.name);
      await cluster.setListedState(target.name, "live");
      await target.control.reset();
    }
    await cluster.list.reset();
    await cluster.settle();
  }

  /** Waits. */
  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }

  /** Ends everything. */
  async close(): Promise<void> {
    for (const { process } of this.cluster.instances) {
      process?.signal("SIGCONT");
    }
    await this.caller.close();
    await this.cluster.close();
  }
}
