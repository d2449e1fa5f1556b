/** A fleet of real daemon processes with stand-ins for the store and the
 * instance list, without targets and without a simulated network.
 *
 * @module
 */
import type { Settings } from "@banyanlb/daemon";
import { type LaunchedProcess, Launcher } from "@banyanlb/standins";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { CALLER_PORT, PEER_PORT, pickAddresses } from "../harness/addresses.ts";
import { mainScriptPath, PEER_TOKEN, waitUntil } from "../harness/cluster.ts";
import { ControlClient } from "../harness/control_client.ts";
import {
  connectOperator,
  type OperatorConnection,
} from "../harness/operator_client.ts";
import { MS_PER_S } from "./constants.ts";
import {
  type FleetUsage,
  type LogLine,
  parseLogLine,
  type StoreCounts,
  subtractCounts,
} from "./fleet_usage.ts";
import { cpuSeconds, residentBytes } from "./proc_stat.ts";
import { locationOf } from "./synthetic.ts";

const LOOPBACK = "127.0.0.1";
const STORE_REGION = "region-1";
const REGIONS = [1, 2, 3, 4, 5].map((i) => `region-${i}`);
const START_BATCH_SIZE = 6;
const START_TIMEOUT_MS = 120_000;

/** Size, settings and environment of a fleet to start. */
export interface DaemonFleetOptions {
  readonly daemons: number;
  /** Settings of each daemon that override the defaults. */
  readonly settings?: Partial<Settings>;
  /** Rows of the instance list; the number of daemons by default. */
  readonly list_rows?: number;
  /** Environment variables of the daemons. */
  readonly daemon_env?: Readonly<Record<string, string>>;
  /** Rate limits of the store's stand-in; 0 is no limit. */
  readonly store_limits?: {
    readonly reads_per_s: number;
    readonly writes_per_s: number;
  };
  /** Called when the store runs, before the first daemon is started. */
  readonly prepare?: (store_url: string) => Promise<void>;
}

/** Starts daemons and measures what they and the store use. */
export class DaemonFleet {
  readonly #options: DaemonFleetOptions;
  readonly #launcher = new Launcher();
  readonly #addresses = pickAddresses();
  readonly #daemons = new Map<number, LaunchedProcess>();
  readonly #operators: OperatorConnection[] = [];
  #directory = "";
  #store_url = "";
  #list_url = "";

  private constructor(options: DaemonFleetOptions) {
    this.#options = options;
  }

  /** Starts the stand-ins and the daemons, and waits until all daemons serve
   * and hold slots. */
  static async start(options: DaemonFleetOptions): Promise<DaemonFleet> {
    const fleet = new DaemonFleet(options);
    try {
      await fleet.#start();
    } catch (cause) {
      await fleet.close();
      throw cause;
    }
    return fleet;
  }

  /** Control client of the store's stand-in. */
  get store(): ControlClient {
    return new ControlClient(this.#store_url);
  }

  /** Control client of the instance list's stand-in. */
  get list(): ControlClient {
    return new ControlClient(this.#list_url);
  }

  /** Processes of the daemons that are running. */
  get running(): readonly LaunchedProcess[] {
    return [...this.#daemons.values()].filter((daemon) => daemon.running);
  }

  /** The process of a daemon. Throws if it was never started. */
  daemon(index: number): LaunchedProcess {
    const daemon = this.#daemons.get(index);
    if (daemon === undefined) throw new Error(`no daemon ${index}`);
    return daemon;
  }

  /** Starts the daemon with a zero-based index and waits for its ready line. */
  async startDaemon(index: number): Promise<LaunchedProcess> {
    const file = join(this.#directory, `daemon-${index}.jsonc`);
    await writeFile(file, JSON.stringify(this.#buildSettings(index)));
    const daemon = await this.#launcher.start({
      name: `daemon ${index}`,
      script: mainScriptPath("@banyanlb/daemon"),
      args: ["run", "--settings", file],
      ready_timeout_ms: START_TIMEOUT_MS,
      ...(this.#options.daemon_env === undefined
        ? {}
        : { env: this.#options.daemon_env }),
    });
    this.#daemons.set(index, daemon);
    return daemon;
  }

  /** Opens an operator's connection to a daemon. */
  operator(index: number): OperatorConnection {
    const url = `ws://${this.#addresses.instance(index + 1)}:${PEER_PORT}`;
    const connection = connectOperator(url, PEER_TOKEN);
    this.#operators.push(connection);
    return connection;
  }

  /** Waits until a daemon serves `generation` or a later one. */
  async waitUntilServing(index: number, generation: number): Promise<void> {
    const connection = this.operator(index);
    await waitUntil(async () => {
      const status = await connection.client.operator.status.query()
        .catch(() => undefined);
      return status?.serving === true && status.generation >= generation;
    }, { what: `daemon ${index} serves`, limit_ms: START_TIMEOUT_MS });
    connection.close();
  }

  /** Waits until the fleet has `members` members and each holds slots, in the
   * view of one daemon. */
  async waitUntilBalanced(members: number, observer_index = 0): Promise<void> {
    const connection = this.operator(observer_index);
    await waitUntil(async () => {
      const rows = await connection.client.operator.instances.query()
        .catch(() => []);
      return rows.length === members && rows.every((row) => row.slots > 0);
    }, { what: `${members} members hold slots`, limit_ms: START_TIMEOUT_MS });
    connection.close();
  }

  /** Runs `task` and measures what the whole fleet uses meanwhile. Daemons that
   * aren't running at the end count as 0 cores. */
  async measure(task: () => Promise<void>): Promise<FleetUsage> {
    const daemons = this.running;
    const counts_before = await this.#storeCounts();
    const reads_before = await this.#listReads();
    const cpu_before = daemons.map(({ pid }) => cpuSeconds(pid));
    const start = performance.now();
    await task();
    const window_ms = performance.now() - start;
    const cores = daemons.map(({ pid }, i) => {
      if (!this.running.some((daemon) => daemon.pid === pid)) return 0;
      const used_s = cpuSeconds(pid) - (cpu_before[i] ?? 0);
      return used_s / (window_ms / MS_PER_S);
    });
    const list_reads = await this.#listReads() - reads_before;
    const store = subtractCounts(await this.#storeCounts(), counts_before);
    const resident_bytes = this.running.map(({ pid }) => residentBytes(pid));
    return { window_ms, store, list_reads, cores, resident_bytes };
  }

  /** Measures the fleet for `window_ms` without any load. */
  async measureIdle(window_ms: number): Promise<FleetUsage> {
    return await this.measure(() => sleep(window_ms));
  }

  /** Log lines of each daemon with event number `event`, from wall-clock time
   * `since` in milliseconds on. */
  logLines(event: number, since: number): readonly (readonly LogLine[])[] {
    return [...this.#daemons.values()].map(({ log }) =>
      log.map(parseLogLine)
        .filter((line): line is LogLine => line !== undefined)
        .filter((line) => line.event === event && line.time >= since)
    );
  }

  /** Ends all processes and connections and removes the directory. */
  async close(): Promise<void> {
    for (const connection of this.#operators) connection.close();
    for (const daemon of this.running) daemon.signal("SIGKILL");
    await this.#launcher.close();
    if (this.#directory === "") return;
    await rm(this.#directory, { recursive: true, force: true });
  }

  async #start(): Promise<void> {
    this.#directory = await mkdtemp(join(tmpdir(), "banyanlb-capacity-"));
    const { store_limits } = this.#options;
    const limit_args = store_limits === undefined ? [] : [
      "--reads-per-s",
      String(store_limits.reads_per_s),
      "--writes-per-s",
      String(store_limits.writes_per_s),
    ];
    this.#store_url = await this.#startStandIn("store", limit_args);
    this.#list_url = await this.#startStandIn("list", ["--lag-ms", "1000"]);
    await this.#registerInstances();
    await this.#options.prepare?.(this.#store_url);
    const { daemons } = this.#options;
    if (daemons === 0) return;
    await this.startDaemon(0);
    const remaining = Array.from({ length: daemons - 1 }, (_, i) => i + 1);
    while (remaining.length > 0) {
      const batch = remaining.splice(0, START_BATCH_SIZE);
      await Promise.all(batch.map((index) => this.startDaemon(index)));
    }
    for (let i = 0; i < daemons; i++) await this.waitUntilServing(i, 0);
    await this.waitUntilBalanced(daemons);
  }

  async #startStandIn(name: string, args: readonly string[]): Promise<string> {
    const launched = await this.#launcher.start({
      name,
      script: mainScriptPath("@banyanlb/standins"),
      args: [name, "--port", "0", ...args],
    });
    return `http://${LOOPBACK}:${launched.port}`;
  }

  async #registerInstances(): Promise<void> {
    const count = this.#options.list_rows ?? this.#options.daemons;
    const instances = Array.from(
      { length: count },
      (_, i) => ({ name: `entry-${i + 1}`, state: "live" }),
    );
    await this.list.post("rows", { instances });
  }

  #buildSettings(index: number): Settings {
    const address = this.#addresses.instance(index + 1);
    return {
      instance: `entry-${index + 1}`,
      ...locationOf(index),
      store_region: STORE_REGION,
      regions: REGIONS as [string, ...string[]],
      listen: { address, caller_port: CALLER_PORT, peer_port: PEER_PORT },
      advertise: {
        caller_url: `http://${address}:${CALLER_PORT}`,
        peer_url: `ws://${address}:${PEER_PORT}`,
      },
      source_address: address,
      store_url: this.#store_url,
      instance_list_url: this.#list_url,
      peer_token: PEER_TOKEN,
      ...this.#options.settings,
    };
  }

  async #storeCounts(): Promise<StoreCounts> {
    const response = await fetch(`${this.#store_url}/_control/counts`);
    return await response.json() as StoreCounts;
  }

  async #listReads(): Promise<number> {
    const { reads } = await this.list.record<{ readonly reads: number }>();
    return reads;
  }
}
