/** Starts machines of the deployed program before stand-ins, on loopback
 * addresses, and writes the record of a case. */
import { spawn } from "node:child_process";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
  writeSync,
} from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { pause } from "./engine.mjs";
import { Store } from "./store.mjs";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
const BOUNDS = {
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
const ZONES = { "a-1": "a", "a-2": "a", "a-3": "a" };
export const HOST = "review.example";
export const KEY = "key-of-t1";

/** The command of the deploy file's role, split at spaces. */
function deployedCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "([^"]+)"$/m.exec(text)[1].split(" ");
}

export class World {
  store = new Store();
  #directory = mkdtempSync(join(tmpdir(), "banyanlb-review-"));
  #record;
  #startedAt = performance.now();
  #children = new Set();
  #closers = [];
  #prefix;
  #controls = [];

  /** `folder` is the URL of the case's folder. */
  constructor(folder) {
    this.#record = openSync(
      fileURLToPath(new URL("record.txt", folder)),
      "w",
    );
    const n = process.pid % 62_500;
    this.#prefix = `127.${1 + Math.floor(n / 250)}.${n % 250}`;
  }

  /** An own loopback address. */
  host(number) {
    return `${this.#prefix}.${number}`;
  }

  /** Writes one line of the record. */
  record = (what, fields = {}) => {
    const ms = String(Math.round(performance.now() - this.#startedAt));
    const text = typeof fields === "string" ? fields : JSON.stringify(fields);
    writeSync(this.#record, `${ms.padStart(6)} ${what} ${text}\n`);
  };

  /** Ends `close()` of a stand-in together with the world. */
  own(closer) {
    this.#closers.push(closer);
    return closer;
  }

  /** Starts a machine. `storeAddress` is the store's address for it. */
  async startMachine({ name, host, zone, storeAddress, bootstrap = true }) {
    const ports = await freePorts(host, 5);
    const [front, ready, control, directory, metrics] = ports;
    const at = (port) => `${host}:${port}`;
    const path = join(this.#directory, `${name}-${host}.json`);
    const settings = {
      node: name,
      role: "entry",
      machine_class: "front",
      serves: ["front", "control", "directory"],
      ip: host,
      zone,
      region: ZONES[zone],
      zones: ZONES,
      listen: {
        front: at(front),
        ready: at(ready),
        control: at(control),
        directory: at(directory),
      },
      port_range: [metrics, metrics],
      seeds: [...this.#controls, at(control)].slice(0, 3),
      bootstrap,
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
      fault_tolerance: { machines: 2, zones: 0, regions: 0 },
      bounds: BOUNDS,
      platform: {
        address: storeAddress,
        form: "objects",
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1_048_576,
        ttl_min_ms: 1000,
      },
    };
    this.#controls.push(at(control));
    writeFileSync(path, JSON.stringify(settings));
    const [program, ...args] = deployedCommand();
    const log = openSync(join(this.#directory, `${name}-${host}.log`), "w");
    const child = spawn(
      program === "node" ? process.execPath : program,
      args,
      {
        cwd: ROOT,
        env: { PATH: process.env.PATH, BANYANLB_NODE_FILE: path },
        stdio: ["ignore", log, log],
      },
    );
    closeSync(log);
    this.#children.add(child);
    child.once("exit", (code, signal) => {
      this.#children.delete(child);
      this.record("exit", { name, host, code, signal });
    });
    this.record("start", { name, host, front: at(front) });
    return {
      name,
      front: at(front),
      ready: at(ready),
      directory: at(directory),
      kill: (signal) => {
        this.record("signal", { name, host, signal });
        child.kill(signal);
        return new Promise((resolve) => child.once("exit", resolve));
      },
      logText: () =>
        readFileSync(join(this.#directory, `${name}-${host}.log`), "utf8"),
    };
  }

  /** Waits until the machine says that it is ready. */
  async awaitReady(machine, ms = 10_000) {
    await until(
      async () => (await call(machine.ready, "/v1/ready")).status === 200,
      { ms, what: `${machine.name} ready` },
    );
    this.record("ready", { name: machine.name });
  }

  /** The front addresses to which a machine sends clients. */
  async resolve(machine) {
    const query = `name=${HOST}&region=a&zone=a-1`;
    const answer = await call(machine.directory, `/v1/resolve?${query}`);
    return answer.status === 200 ? JSON.parse(answer.body).addresses : [];
  }

  /** Ends all processes and stand-ins. */
  async close() {
    const ended = [...this.#children].map((child) =>
      new Promise((resolve) => {
        child.once("exit", resolve);
        child.kill("SIGCONT");
        child.kill("SIGKILL");
      })
    );
    await Promise.all(ended);
    for (const closer of this.#closers) closer.close();
    this.store.close();
    rmSync(this.#directory, { recursive: true, force: true });
  }
}

/** Runs a case: it returns whether the rule was broken. */
export async function runCase(folder, run) {
  const world = new World(folder);
  let code = 2;
  const stop = (reason) => {
    world.record("result", reason);
    world.close().then(() => process.exit(2));
  };
  const limit = setTimeout(() => stop("time is up"), 110_000);
  for (const signal of ["SIGTERM", "SIGINT"]) {
    process.on(signal, () => stop(`ended by ${signal}`));
  }
  try {
    const isBroken = await run(world);
    code = isBroken ? 1 : 0;
    world.record("result", isBroken ? "the rule was broken" : "it held");
  } catch (err) {
    world.record("result", `the case could not run: ${err.stack}`);
  }
  clearTimeout(limit);
  await world.close();
  process.exit(code);
}

/** Finds ports that are free at `host`. */
async function freePorts(host, count) {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = [];
  for (const server of servers) {
    await new Promise((resolve) => server.listen(0, host, resolve));
    ports.push(server.address().port);
  }
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

/** Waits until `isTrue` resolves to true. */
export async function until(
  isTrue,
  { ms = 10_000, what = "a condition" } = {},
) {
  const end = performance.now() + ms;
  while (!await isTrue()) {
    if (performance.now() > end) throw new Error(`no ${what} in ${ms} ms`);
    await pause(50);
  }
}

/** Sends a request on a new connection. Resolves to what came, whole or not. */
export function call(
  address,
  path,
  { method = "GET", headers = {}, body, timeoutMs = 1000 } = {},
) {
  const [host, port] = address.split(":");
  const startedAt = performance.now();
  return new Promise((resolve) => {
    const answer = { status: 0, body: "", isWhole: false, headers: {} };
    const finish = () => {
      clearTimeout(timer);
      answer.ms = Math.round(performance.now() - startedAt);
      resolve(answer);
    };
    const req = request({
      agent: false,
      host,
      port,
      method,
      path,
      headers,
      setHost: headers.Host === undefined,
    });
    const timer = setTimeout(() => req.destroy(), timeoutMs);
    req.on("error", finish);
    req.on("response", (res) => {
      answer.status = res.statusCode;
      answer.headers = res.headers;
      res.setEncoding("utf8");
      res.on("data", (text) => (answer.body += text));
      res.on("error", finish);
      res.on("end", () => {
        answer.isWhole = res.complete;
        finish();
      });
    });
    req.end(body);
  });
}

/** Headers of a client's request. */
export function clientHeaders(id, deadlineMs, more = {}) {
  return {
    Host: HOST,
    "Request-Id": id,
    Deadline: String(deadlineMs),
    Authorization: `Bearer ${KEY}`,
    ...more,
  };
}

/** A configuration with `routes` and `services`, whose other fields are filled
 * in. */
export function configuration(version, { routes, services }) {
  return {
    version,
    routes: routes.map((route) => ({
      host: HOST,
      priority: 1,
      public: false,
      timeout_ms: 12_000,
      target_latency_ms: 600,
      max_attempts: 2,
      ...route,
    })),
    services: services.map((service) => ({
      max_conns: 240,
      health_path: "/health",
      ...service,
    })),
    tenants: [{
      name: "t1",
      api_keys: [KEY],
      rate_per_s: 0,
      burst: 0,
      unit: "token_stream",
      plain_tokens: 1000,
    }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
  };
}

/** The `engine` of a service: one model. */
export const ENGINE_CLASS = {
  slots: 32,
  weights_mb: 76_000,
  adapter_slots: 21,
  models: [{
    name: "m0",
    weights_mb: 72_700,
    load_s: 2.1,
    adapters: 3000,
    adapter_mb: 40,
  }],
};
