/** A small deployment for a case: the deployed program as processes on loopback
 * addresses, and stand-ins of the store, the engines and the clients.
 *
 * @module
 */
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { get, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as pause } from "node:timers/promises";
import { Engine } from "./engine.mjs";
import { Store } from "./store.mjs";

export { pause };

const ROOT = new URL("../..", import.meta.url).pathname;
const STORE_PORT = 8225;
const PORTS = { front: 8221, ready: 8224, control: 8229, directory: 8220 };
export const FRONT_PORT = PORTS.front;
export const HOST = "ficu95.example";
export const KEY = "i9n73hh2b9wu3fexd9dn";
export const MODEL = "daka510000";

/** The bounds of the sheet of jongsori-prod. */
const JONGSORI_PROD = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  stable_window_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2500,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2500,
  rollback_slack_ms: 250,
  outer_ms: 5000,
  strict_revoke: false,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  budget_slack: 56,
  quota_window_s: 8,
  quota_over: 0.1,
  quota_slack: 17000,
  recover_s: 12,
  pass_ms: 200,
  retry_after_s: 0,
  fencing_required: false,
  lease_ms: 3000,
  thaw_slack_ms: 300,
  ceiling_window_s: 5,
  ceiling_over: 1.1,
  version_ms: 5000,
  ttl_max_s: 5,
};

/** The bounds of the sheets that the cases follow. */
export const BOUNDS = {
  "jongsori-prod": JONGSORI_PROD,
  "pbsa-route-grown": {
    ...JONGSORI_PROD,
    stable_window_ms: 4000,
    ack_ms: 6000,
    catch_up_s: 6,
    drain_ms: 4000,
    config_apply_ms: 4000,
    outer_ms: 6000,
    budget_slack: 184,
    recover_s: 15,
    pass_ms: 250,
  },
};

/** The routes and services of the sheet of jongsori-prod. */
export const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: "toll-draft",
      host: HOST,
      path_prefix: "/draft/",
      kind: "stream",
      timeout_ms: 12000,
      target_latency_ms: 600,
      priority: 1,
      service: "pattern-llm",
      max_attempts: 2,
      public: false,
      sticky: true,
      resumable: true,
      gap_target_ms: 300,
    },
    {
      name: "strike-order",
      host: HOST,
      path_prefix: "/strike/",
      kind: "unsafe",
      timeout_ms: 1000,
      target_latency_ms: 120,
      priority: 2,
      service: "bell-control",
      max_attempts: 1,
      public: false,
    },
    {
      name: "schedule-read",
      host: HOST,
      path_prefix: "/schedule/",
      kind: "safe",
      timeout_ms: 1000,
      target_latency_ms: 120,
      priority: 2,
      service: "bell-control",
      max_attempts: 2,
      public: false,
    },
  ],
  services: [
    {
      name: "pattern-llm",
      health_path: "/health",
      max_conns: 240,
      protocol: "h1",
      tls: false,
      engine: {
        slots: 32,
        kv_capacity_tokens: 118456,
        weights_mb: 75600,
        adapter_slots: 21,
        loads_per_s: 5.8,
        models: [{
          name: MODEL,
          weights_mb: 72700,
          load_s: 2.1,
          adapters: 3000,
          adapter_mb: 66,
        }],
      },
    },
    {
      name: "bell-control",
      health_path: "/health",
      max_conns: 110,
      protocol: "h1",
      tls: false,
    },
  ],
  limits: {
    max_header_bytes: 16384,
    max_body_bytes: 4194304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15000,
  },
  tenants: [{
    name: "hule930",
    api_keys: [KEY],
    priority: 1,
    unit: "token_stream",
    plain_tokens: 200,
    rate_per_s: 0,
    burst: 0,
  }],
};

/** One process of the deployed program. */
class Machine {
  #world;
  #path;
  #settings;
  #child;
  #log;

  constructor(world, settings) {
    this.#world = world;
    this.#settings = settings;
    this.#path = join(world.directory, `${settings.node}.json`);
    this.#log = join(world.directory, `${settings.node}.log`);
    writeFileSync(this.#path, JSON.stringify(settings));
  }

  get name() {
    return this.#settings.node;
  }

  get host() {
    return this.#settings.ip;
  }

  get storeHost() {
    return this.#settings.platform.address.split(":")[0];
  }

  get isRunning() {
    return this.#child !== undefined && this.#child.exitCode === null &&
      this.#child.signalCode === null;
  }

  /** Starts the command of the deploy file. */
  start() {
    const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const [, words] = /^run = "(.*)"$/m.exec(deploy);
    const [program, ...args] = words.split(" ");
    this.#child = spawn(program, args, {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "pipe"],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        BANYANLB_NODE_FILE: this.#path,
      },
    });
    for (const output of [this.#child.stdout, this.#child.stderr]) {
      output.on("data", (chunk) => appendFileSync(this.#log, chunk));
    }
    const { record } = this.#world;
    record({ t: "machine_start", machine: this.name });
    this.#child.once("exit", (code, signal) => {
      record({ t: "machine_end", machine: this.name, code, signal });
    });
  }

  signal(signal) {
    this.#world.record({ t: "signal", machine: this.name, signal });
    if (this.isRunning) this.#child.kill(signal);
  }

  kill() {
    if (this.isRunning) this.#child.kill("SIGKILL");
  }

  async ended() {
    while (this.isRunning) await pause(10);
  }

  async ready(withinMs = 15_000) {
    const until = Date.now() + withinMs;
    while (Date.now() < until) {
      if (await this.#isReady()) return;
      await pause(50);
    }
    throw new Error(`${this.name} is not ready`);
  }

  #isReady() {
    return new Promise((resolve) => {
      const req = get({
        host: this.host,
        port: PORTS.ready,
        path: "/v1/ready",
        agent: false,
        timeout: 1000,
      }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on("error", () => resolve(false));
      req.on("timeout", () => req.destroy());
    });
  }
}

/** The deployment of a case. */
export class World {
  store = new Store();
  machines = [];
  engines = [];
  records = [];
  directory = mkdtempSync(join(tmpdir(), "review-3-"));
  #recordPath;
  #startedAt = Date.now();
  #prefix;

  /** Writes what happens to `record.txt` in the folder of the case. */
  constructor(folder) {
    this.#recordPath = join(folder, "record.txt");
    writeFileSync(this.#recordPath, "");
    const n = process.pid % 48_000;
    this.#prefix = `127.${40 + Math.floor(n / 240)}.${n % 240}`;
    this.record = this.record.bind(this);
  }

  /** A loopback address of this case. */
  address(n) {
    return `${this.#prefix}.${n}`;
  }

  record(fields) {
    const entry = { ms: Date.now() - this.#startedAt, ...fields };
    this.records.push(entry);
    appendFileSync(this.#recordPath, `${JSON.stringify(entry)}\n`);
    return entry;
  }

  get nowMs() {
    return Date.now() - this.#startedAt;
  }

  /** Starts machines in the zones and waits until they are ready. */
  async startMachines(zones, { site = "jongsori-prod" } = {}) {
    const seeds = zones.slice(0, 3).map((_, i) =>
      `${this.address(10 + i)}:${PORTS.control}`
    );
    for (const [i, zone] of zones.entries()) {
      const ip = this.address(10 + i);
      const storeHost = this.address(110 + i);
      await this.store.listen(storeHost, STORE_PORT);
      const on = (port) => `${ip}:${port}`;
      const machine = new Machine(this, {
        node: `front-${zone}-${i + 1}`,
        role: "entry",
        machine_class: "front",
        serves: ["front", "directory", "control"],
        ip,
        zone,
        region: REGIONS[zone],
        zones: REGIONS,
        listen: {
          front: on(PORTS.front),
          ready: on(PORTS.ready),
          control: on(PORTS.control),
          directory: on(PORTS.directory),
        },
        port_range: [7600, 7615],
        seeds,
        bootstrap: true,
        in_tolerance: false,
        limits: {
          cpu_share: 0.675,
          cores: 1,
          memory_mb: 350,
          max_fds: 4100,
          link_mbps: 1000,
          disk_mb: 0,
        },
        data_dir: null,
        discovery: "platform",
        entry: "directory",
        heartbeat_ms: 1200,
        bounds: BOUNDS[site],
        platform: {
          address: `${storeHost}:${STORE_PORT}`,
          form: "objects",
          writes_per_s: 400,
          reads_per_s: 2000,
          history_s: 20,
          value_bytes: 1048576,
          ttl_min_ms: 1000,
        },
      });
      this.machines.push(machine);
    }
    for (const machine of this.machines) machine.start();
    await Promise.all(this.machines.map((machine) => machine.ready()));
  }

  /** Starts an engine; `n` is the number of its address. */
  async startEngine(n, options) {
    const engine = new Engine({
      host: this.address(150 + n),
      store: this.store,
      record: this.record,
      slots: 32,
      ...options,
    });
    await engine.start();
    this.engines.push(engine);
    this.record({ t: "engine", id: engine.id, version: options.version });
    return engine;
  }

  /** Sends a request on a new connection. Resolves to what came back. */
  send(machine, { id, path, method = "POST", headers = {}, ...options }) {
    const { body, onChunk, host, port, key = KEY, agent = false } = options;
    const { name } = machine;
    const sent = this.record({
      t: "sent",
      id,
      machine: name,
      path,
      ...options.note,
    });
    return new Promise((resolve) => {
      const result = { id, status: undefined, body: "", isComplete: false };
      const end = (error) => {
        if (result.end !== undefined) return;
        const { ms } = this.record({
          t: "answer",
          id,
          machine: name,
          status: result.status,
          complete: result.isComplete,
          error,
          tookMs: this.nowMs - sent.ms,
          body: result.body.length > 120 ? undefined : result.body,
        });
        Object.assign(result, { end: ms, error, sentMs: sent.ms });
        resolve(result);
      };
      const req = request({
        host: host ?? machine.host,
        port: port ?? PORTS.front,
        method,
        path,
        agent,
        headers: {
          Host: HOST,
          "Request-Id": id,
          ...(key === null ? {} : { Authorization: `Bearer ${key}` }),
          ...headers,
        },
      }, (res) => {
        result.status = res.statusCode;
        result.headers = res.headers;
        res.on("data", (chunk) => {
          result.body += chunk;
          onChunk?.(chunk, result);
        });
        res.on("end", () => {
          result.isComplete = res.complete;
          end(res.complete ? undefined : "broken off");
        });
        res.on("error", (err) => end(err.message));
        res.on("close", () => end("closed"));
      });
      req.on("error", (err) => end(err.message));
      req.on("close", () => end("closed"));
      req.end(body);
    });
  }

  /** Kills all processes at once. */
  kill() {
    for (const machine of this.machines) machine.kill();
  }

  /** Ends all processes and closes the stand-ins. */
  async close() {
    for (const machine of this.machines) {
      if (!machine.isRunning) continue;
      machine.signal("SIGCONT");
      machine.signal("SIGKILL");
      await machine.ended();
    }
    for (const engine of this.engines) engine.close();
    this.store.close();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.directory, { recursive: true, force: true });
    } else console.log(`logs: ${this.directory}`);
  }
}

/** The zones of the sheet of jongsori-prod. */
export const REGIONS = {
  "yn-a": "yeongnam",
  "sd-a": "sudogwon",
  "yn-b": "yeongnam",
};

/** Time after which a script ends in any case. */
const RUN_MAX_MS = 110_000;

/** Whether the disruption is to be brought about. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** Runs a case in its folder: `play` resolves to why the rule was broken, or to
 * nothing. Exits with 1, 0, or 2 if the case could not run. */
export async function runCase(folder, play) {
  let world;
  let code = 2;
  // However the script ends, no process stays behind.
  process.on("exit", () => world?.kill());
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
    process.on(signal, () => process.exit(2));
  }
  setTimeout(() => {
    console.error("not run: it took too long");
    process.exit(2);
  }, RUN_MAX_MS).unref();
  try {
    world = new World(folder);
    const broken = await play(world);
    world.record({ t: "result", broken: broken ?? "no" });
    console.log(broken === undefined ? "held" : `broken: ${broken}`);
    code = broken === undefined ? 0 : 1;
  } catch (err) {
    console.error(`not run: ${err.stack}`);
  }
  await world?.close();
  process.exit(code);
}

/** Answers a stream in events, from the one after `Last-Event-Id` on. */
export function streamResponder({ events, eventMs, firstMs = 50 }) {
  return async ({ req, res, head, version }) => {
    let isClosed = false;
    res.on("close", () => (isClosed = true));
    await pause(firstMs);
    if (isClosed) return;
    res.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
    const after = Number(req.headers["last-event-id"] ?? 0);
    for (let n = after + 1; n <= events; n += 1) {
      await pause(eventMs);
      if (isClosed) return;
      res.write(`id: ${n}\ndata: ${version} token${n}\n\n`);
    }
    res.end();
  };
}

/** Answers a plain request after `workMs`. */
export function plainResponder({ workMs }) {
  return async ({ req, res, head }) => {
    await pause(workMs);
    if (!res.destroyed) {
      res.writeHead(200, { ...head, "Content-Type": "text/plain" });
      res.end(`done ${req.headers["request-id"]}`);
    }
  };
}
