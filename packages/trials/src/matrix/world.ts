/** The cluster under test with its caller, and its reset between cells.
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

/** Options of a `World`. */
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

/** Time by which freezes, network cuts and store outages exceed the lease
 * term. */
const LEASE_MARGIN_MS = 1_500;

/** A running deployment that the cells of a property share. */
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

  /** Starts a cluster with short lease terms. */
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

  /** Regions that host instances or targets; domains that hold only clients do
   * not count. */
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

  /** Returns the instance at an index. Throws if there is none. */
  instance(index: number): ClusterInstance {
    const instance = this.cluster.instances[index];
    if (instance === undefined) throw new Error(`no instance ${index}`);
    return instance;
  }

  /** Returns the target of a name. Throws if there is none. */
  target(name: string): ClusterTarget {
    const target = this.cluster.targets.find((known) => known.name === name);
    if (target === undefined) throw new Error(`no target ${name}`);
    return target;
  }

  /** Versions that a route has served since the cluster started, newest
   * last. */
  versionsOf(route: string): readonly string[] {
    const known = this.#versions.get(route);
    if (known !== undefined) return known;
    const planned = this.cluster.objects.routes
      .find((row) => row.route === route);
    return planned === undefined ? [] : [planned.version];
  }

  /** Records that a route may also serve this version from now on. */
  addVersion(route: string, version: string): void {
    this.#versions.set(route, [...this.versionsOf(route), version]);
  }

  /** Indexes of the instances whose processes are running. */
  runningIndexes(): readonly number[] {
    return this.cluster.instances
      .flatMap((instance, i) => instance.process?.running ? [i] : []);
  }

  /** Describes each instance whose process crashed, with its last 12 log lines.
   * No fault of the matrix makes a process exit with an error, so each crash is
   * a violation. */
  crashes(): readonly string[] {
    return this.cluster.instances.flatMap(({ name, process }) =>
      process?.hasCrashed === true
        ? [`${name} crashed: ${process.log.slice(-12).join(" | ")}`]
        : []
    );
  }

  /** Returns the site of faults for a target: the instance that owns it, and
   * another instance as entry. Instance 0 stands in for an unknown owner. */
  async siteOf(target: string): Promise<FaultSite> {
    const { client } = this.cluster.operator();
    const rows = await client.operator.targets.query();
    const name = rows.find((row) => row.target === target)?.owner ?? "";
    const found = this.cluster.instances.findIndex((i) => i.name === name);
    const owner = Math.max(0, found);
    const entry = (owner + 1) % this.cluster.instances.length;
    return { entry, owner, target };
  }

  /** Starts an instance again if it is not running. */
  async restartInstance(index: number): Promise<void> {
    if (this.instance(index).process?.running) return;
    await this.cluster.startInstance(index);
  }

  /** Kills a target's process and keeps its record. Requests that it receives
   * between the reading of the record and the kill are not checked. */
  async crashTarget(name: string): Promise<void> {
    const record = await this.target(name).control.record<unknown>();
    await this.cluster.killTarget(name);
    this.#crashed.set(name, [...this.#crashed.get(name) ?? [], record]);
  }

  /** Returns what a target received in this cell: the records of its crashed
   * processes and, if it is running, that of the current one. */
  async recordsOf<T>(name: string): Promise<readonly T[]> {
    const { control, process } = this.target(name);
    const earlier = this.#crashed.get(name) ?? [];
    const present = process.running ? [await control.record<T>()] : [];
    return [...earlier as readonly T[], ...present];
  }

  /** Lifts all faults, restarts stopped processes, clears all records and waits
   * until the fleet has settled. */
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

  /** Waits for `ms` milliseconds. */
  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }

  /** Resumes frozen instances, then closes the caller and the cluster. */
  async close(): Promise<void> {
    for (const { process } of this.cluster.instances) {
      process?.signal("SIGCONT");
    }
    await this.caller.close();
    await this.cluster.close();
  }
}
