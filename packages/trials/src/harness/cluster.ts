/** Starts a whole deployment as separate processes: stand-ins of the platform
 * and of the targets, the network's stand-in, and the daemons.
 *
 * @module
 */
import type { ConfigObject } from "@banyanlb/core";
import type { Settings } from "@banyanlb/daemon";
import {
  buildObjects,
  type Deployment,
  type DeploymentName,
  type DeploymentObjects,
  LaunchedProcess,
  Launcher,
  loadDeployment,
  type PlacedInstance,
  planEntryInstances,
  type PlannedTarget,
  planTargets,
} from "@banyanlb/standins";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import {
  type Addresses,
  CALLER_PORT,
  PEER_PORT,
  pickAddresses,
} from "./addresses.ts";
import {
  FIRST_TARGET_LINK,
  LIST_LINK,
  LOOPBACK,
  planNetwork,
  type PlatformPorts,
  STORE_LINK,
  WEIGHTS_LINK,
} from "./cluster_network.ts";
import { ControlClient } from "./control_client.ts";
import {
  connectOperator,
  type OperatorConnection,
  publishNew,
} from "./operator_client.ts";

/** Options of a cluster. */
export interface ClusterOptions {
  readonly deployment: DeploymentName;
  /** Number of entry instances; default: all of the deployment. */
  readonly instances?: number;
  /** Number of adapters, if not that of the deployment. */
  readonly adapters?: number;
  /** Maximum number of targets of each pool; default: all of the deployment. */
  readonly targets_per_pool?: number;
  /** Settings of every instance that override those of the harness. */
  readonly settings?: Partial<Settings>;
  /** Concurrent requests of each engine, if not that of the deployment. */
  readonly max_running?: number;
  /** Additional arguments of the engines' stand-ins. */
  readonly engine_args?: readonly string[];
  /** Changes the objects before they are published. */
  readonly editObjects?: (
    objects: readonly ConfigObject[],
  ) => readonly ConfigObject[];
  /** Environment variables of the daemons, e.g. to enable a mutation. */
  readonly daemon_env?: Readonly<Record<string, string>>;
  /** True to run without the network's stand-in, i.e. without its delays and
   * limits. */
  readonly without_network?: boolean;
}

/** One entry instance. */
export interface ClusterInstance {
  readonly name: string;
  readonly placed: PlacedInstance;
  readonly caller_url: string;
  readonly peer_url: string;
  readonly settings_file: string;
  process: LaunchedProcess | undefined;
}

/** One target's stand-in. */
export interface ClusterTarget {
  readonly name: string;
  readonly planned: PlannedTarget;
  process: LaunchedProcess;
  /** Client of the stand-in's control API, which bypasses the network. */
  readonly control: ControlClient;
}

/** Token with which the peers and operators of a cluster authenticate. */
export const PEER_TOKEN = "a-token-of-the-trials-only";

/** Number of the address from which callers of the first region connect. */
const FIRST_CALLER = 80;
const SETTLE_LIMIT_MS = 20_000;
const POLL_MS = 50;

const require = createRequire(import.meta.url);

/** Path of the main script of a package in this repository. */
export function mainScriptPath(package_name: string): string {
  return join(dirname(require.resolve(package_name)), "main.js");
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Polls until `check` returns true. Throws after `limit_ms` milliseconds
 * (default 20,000); the error names `what` was expected. */
export async function waitUntil(
  check: () => boolean | Promise<boolean>,
  options: { readonly what: string; readonly limit_ms?: number },
): Promise<void> {
  const until_ms = performance.now() + (options.limit_ms ?? SETTLE_LIMIT_MS);
  while (!await check()) {
    if (performance.now() > until_ms) {
      throw new Error(`timed out: ${options.what}`);
    }
    await sleep(POLL_MS);
  }
}

/** A running deployment. {@linkcode close} ends every process that it
 * started. */
export class Cluster {
  readonly deployment: Deployment;
  readonly instances: ClusterInstance[] = [];
  readonly targets: ClusterTarget[] = [];
  objects: DeploymentObjects = { objects: [], keys: [], routes: [] };
  store!: ControlClient;
  list!: ControlClient;
  weights!: ControlClient;
  network!: ControlClient;
  readonly #options: ClusterOptions;
  readonly #launcher = new Launcher();
  readonly #addresses: Addresses = pickAddresses();
  readonly #operators = new Map<string, OperatorConnection>();
  readonly #listed_states = new Map<string, "live" | "leaving">();
  #directory = "";
  #direct_ports: ReadonlyMap<number, number> = new Map();
  #weights_port = 0;

  private constructor(options: ClusterOptions) {
    this.#options = options;
    this.deployment = loadDeployment(options.deployment);
  }

  /** Starts all processes, publishes the deployment's objects and waits until
   * every instance serves them. Throws and closes the cluster if that fails. */
  static async start(options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options);
    try {
      await cluster.#start();
    } catch (cause) {
      await cluster.close();
      throw cause;
    }
    return cluster;
  }

  /** API key of a workspace in plain text. */
  keyOf(workspace: string): string {
    const workspace_key = this.objects.keys.find((key) =>
      key.workspace === workspace
    );
    if (workspace_key === undefined) throw new Error(`no key of ${workspace}`);
    return workspace_key.key;
  }

  /** URLs on which the instances serve callers. */
  get seeds(): readonly string[] {
    return this.instances.map((instance) => instance.caller_url);
  }

  /** Address that callers of the first region connect from. */
  get caller_address(): string {
    return this.#addresses.instance(FIRST_CALLER);
  }

  /** Address that callers of a region connect from. */
  callerAddressOf(region: string): string {
    const domains = this.deployment.domains.filter((d) => d.clients === true);
    const index = domains.findIndex((domain) => domain.region === region);
    return this.#addresses.instance(FIRST_CALLER + Math.max(0, index));
  }

  /** An operator's connection to an instance; by default to the first running
   * one. */
  operator(index?: number): OperatorConnection {
    const instance = index === undefined
      ? this.instances.find((i) => i.process?.running)
      : this.instances[index];
    if (instance === undefined) throw new Error("no instance runs");
    const open_connection = this.#operators.get(instance.name);
    if (open_connection !== undefined) return open_connection;
    const connection = connectOperator(instance.peer_url, PEER_TOKEN);
    this.#operators.set(instance.name, connection);
    return connection;
  }

  /** Starts the process of an instance, also after it was killed. */
  async startInstance(index: number): Promise<void> {
    const instance = this.instances[index];
    if (instance === undefined) throw new Error(`no instance ${index}`);
    instance.process = await this.#launcher.start({
      name: instance.name,
      script: mainScriptPath("@banyanlb/daemon"),
      args: ["run", "--settings", instance.settings_file],
      ...(this.#options.daemon_env === undefined
        ? {}
        : { env: this.#options.daemon_env }),
    });
  }

  /** Kills the process of a target. */
  async killTarget(name: string): Promise<void> {
    await this.#findTarget(name).process.kill();
  }

  /** Restarts the process of a target on the same port, without its state. */
  async restartTarget(name: string): Promise<void> {
    const target = this.#findTarget(name);
    const args = this.#targetArgs(target.planned, this.#weights_port);
    target.process = await this.#startStandIn(target.planned.pool.type, args, {
      port: target.process.port,
    });
  }

  /** Sets the state of an instance or target in the instance list, which shows
   * it after a lag of 1,000 ms. */
  async setListedState(name: string, state: "live" | "leaving"): Promise<void> {
    this.#listed_states.set(name, state);
    await this.#publishInstanceList();
  }

  /** Waits until every running instance serves and reports that all running
   * instances own slots. */
  async settle(): Promise<void> {
    for (const [index, instance] of this.instances.entries()) {
      if (!instance.process?.running) continue;
      await waitUntil(() => this.#isServing(index), {
        what: `${instance.name} serves`,
      });
    }
    await waitUntil(() => this.#isBalanced(), { what: "all own slots" });
  }

  /** Ends every process that this cluster started. */
  async close(): Promise<void> {
    for (const connection of this.#operators.values()) connection.close();
    for (const { process } of this.instances) process?.signal("SIGKILL");
    await this.#launcher.close();
    if (this.#directory === "") return;
    await rm(this.#directory, { recursive: true, force: true });
  }

  async #start(): Promise<void> {
    this.#directory = await mkdtemp(join(tmpdir(), "banyanlb-"));
    const [store, list, weights] = await Promise.all([
      this.#startStandIn("store", []),
      this.#startStandIn("list", ["--lag-ms", "1000"]),
      this.#startStandIn("weights", this.#weightsArgs()),
    ]);
    this.store = this.#createControlClient(store);
    this.list = this.#createControlClient(list);
    this.weights = this.#createControlClient(weights);
    this.#weights_port = weights.port;
    await this.#startTargets(weights.port);
    this.#planInstances();
    this.#direct_ports = new Map([
      [STORE_LINK, store.port],
      [LIST_LINK, list.port],
      [WEIGHTS_LINK, weights.port],
      ...this.targets.map((target, i) =>
        [FIRST_TARGET_LINK + i, target.process.port] as const
      ),
    ]);
    if (this.#options.without_network !== true) {
      await this.#startNetwork({ store, list, weights });
    }
    await this.#publishInstanceList();
    await this.#writeSettings();
    await this.startInstance(0);
    await this.#publish();
    await Promise.all(
      this.instances.slice(1).map((_, i) => this.startInstance(i + 1)),
    );
    await this.settle();
  }

  #weightsArgs(): readonly string[] {
    const { weights } = this.deployment;
    return [
      "--loads-per-s",
      String(weights.loads_per_s),
      "--at-once",
      String(weights.at_once),
      "--load-ms",
      String(weights.load_ms),
      "--full-speed-in-flight",
      String(weights.full_speed_in_flight),
    ];
  }

  #startStandIn(
    command: string,
    args: readonly string[],
    options: { readonly port?: number } = {},
  ): Promise<LaunchedProcess> {
    return this.#launcher.start({
      name: command,
      script: mainScriptPath("@banyanlb/standins"),
      args: [command, "--port", String(options.port ?? 0), ...args],
    });
  }

  #findTarget(name: string): ClusterTarget {
    const target = this.targets.find((candidate) => candidate.name === name);
    if (target !== undefined) return target;
    throw new Error(`no target ${name}`);
  }

  #targetArgs(
    planned: PlannedTarget,
    weights_port: number,
  ): readonly string[] {
    if (planned.pool.type === "service") return [];
    return this.#engineArgs(planned, weights_port);
  }

  #createControlClient(launched: LaunchedProcess): ControlClient {
    return new ControlClient(`http://${LOOPBACK}:${launched.port}`);
  }

  #plannedTargets(): readonly PlannedTarget[] {
    const max_targets = this.#options.targets_per_pool ?? Infinity;
    const counts = new Map<string, number>();
    return planTargets(this.deployment).filter(({ pool }) => {
      const count = counts.get(pool.name) ?? 0;
      counts.set(pool.name, count + 1);
      return count < max_targets;
    });
  }

  async #startTargets(weights_port: number): Promise<void> {
    const starts = this.#plannedTargets().map(async (planned) => {
      const args = this.#targetArgs(planned, weights_port);
      const process = await this.#startStandIn(planned.pool.type, args);
      const control = this.#createControlClient(process);
      return { name: planned.name, planned, process, control };
    });
    this.targets.push(...await Promise.all(starts));
  }

  #engineArgs(
    planned: PlannedTarget,
    weights_port: number,
  ): readonly string[] {
    const { pool } = planned;
    return [
      "--model",
      this.deployment.model,
      "--adapter-slots",
      String(pool.adapter_slots ?? 8),
      "--max-running",
      String(this.#options.max_running ?? pool.max_running ?? 32),
      "--weights-url",
      `http://${LOOPBACK}:${weights_port}`,
      ...(pool.fencing === true ? ["--fencing"] : []),
      ...(this.#options.engine_args ?? []),
    ];
  }

  #planInstances(): void {
    const entries = planEntryInstances(this.deployment);
    const count = this.#options.instances ?? entries.length;
    for (const [i, placed] of entries.slice(0, count).entries()) {
      const link = this.#options.without_network === true
        ? this.#addresses.instance(i + 1)
        : this.#addresses.link(i + 1);
      this.instances.push({
        name: placed.name,
        placed,
        caller_url: `http://${link}:${CALLER_PORT}`,
        peer_url: `ws://${link}:${PEER_PORT}`,
        settings_file: join(this.#directory, `${placed.name}.jsonc`),
        process: undefined,
      });
    }
  }

  /** URL at which instances reach the stand-in of a link. */
  #linkUrl(number: number): string {
    if (this.#options.without_network === true) {
      return `http://${LOOPBACK}:${this.#direct_ports.get(number)}`;
    }
    return `http://${this.#addresses.link(number)}:${CALLER_PORT}`;
  }

  async #startNetwork(platform: PlatformPorts): Promise<void> {
    const config = planNetwork(this.deployment, {
      addresses: this.#addresses,
      platform,
      targets: this.targets,
      instances: this.instances,
      callerAddressOf: (region) => this.callerAddressOf(region),
    });
    const file = join(this.#directory, "network.json");
    await writeFile(file, JSON.stringify(config));
    const launched = await this.#startStandIn("network", ["--config", file]);
    this.network = this.#createControlClient(launched);
  }

  async #publishInstanceList(): Promise<void> {
    const rows = [...this.instances, ...this.targets]
      .map(({ name }) => ({
        name,
        state: this.#listed_states.get(name) ?? "live",
      }));
    await this.list.post("rows", { instances: rows });
  }

  async #writeSettings(): Promise<void> {
    const regions = [
      ...new Set(
        this.deployment.domains.filter((d) => d.clients !== true)
          .map((d) => d.region),
      ),
    ];
    const store_region = this.deployment.domains
      .find((d) => d.name === this.deployment.store_domain)?.region ?? "";
    const { weights } = this.deployment;
    for (const [i, instance] of this.instances.entries()) {
      const address = this.#addresses.instance(i + 1);
      const settings: Settings = {
        instance: instance.name,
        region: instance.placed.region,
        failure_domain: instance.placed.domain,
        store_region,
        regions: regions as [string, ...string[]],
        listen: { address, caller_port: CALLER_PORT, peer_port: PEER_PORT },
        advertise: {
          caller_url: instance.caller_url,
          peer_url: instance.peer_url,
        },
        source_address: address,
        store_url: this.#linkUrl(STORE_LINK),
        instance_list_url: this.#linkUrl(LIST_LINK),
        peer_token: PEER_TOKEN,
        weight_loads_per_s: weights.loads_per_s,
        weight_loads_burst: weights.loads_per_s * 2,
        ...this.#options.settings,
      };
      await writeFile(instance.settings_file, JSON.stringify(settings));
    }
  }

  async #publish(): Promise<void> {
    const urls = new Map(
      this.targets.map((target, i) =>
        [target.name, this.#linkUrl(FIRST_TARGET_LINK + i)] as const
      ),
    );
    const { adapters, editObjects } = this.#options;
    this.objects = buildObjects(this.deployment, {
      urls,
      ...(adapters === undefined ? {} : { adapters }),
    });
    const objects = editObjects?.(this.objects.objects) ??
      this.objects.objects;
    await publishNew(this.operator(0), objects);
  }

  async #isServing(index: number): Promise<boolean> {
    const instance = this.instances[index];
    if (instance === undefined) return false;
    try {
      const status = await this.operator(index).client.operator.status.query();
      return status.serving && status.generation > 0;
    } catch {
      return false;
    }
  }

  async #isBalanced(): Promise<boolean> {
    const running = this.instances.filter((i) => i.process?.running);
    const views = await Promise.all(
      running.map(async ({ name }) => {
        const index = this.instances.findIndex((i) => i.name === name);
        const { operator } = this.operator(index).client;
        return await operator.instances.query().catch(() => []);
      }),
    );
    return views.every((rows) =>
      rows.length === running.length && rows.every((row) => row.slots > 0)
    );
  }
}
