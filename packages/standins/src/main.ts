/** Command line that runs one kind of stand-in as a process.
 *
 * Prints `{"ready":true,"port":N,"ports":[N]}` on standard output once it
 * listens, and exits on SIGTERM or SIGINT.
 *
 * @module
 */
import { createValidator } from "@banyanlb/core";
import { readFileSync } from "node:fs";
import { parse } from "jsonc-parser";
import sade from "sade";
import { EngineStandIn } from "./engine_stand_in.ts";
import { control_schema, type NetworkConfig } from "./generated/control.ts";
import type { HttpStandIn } from "./http_stand_in.ts";
import { ListStandIn } from "./list_stand_in.ts";
import { NetworkStandIn } from "./network_stand_in.ts";
import { ServiceStandIn } from "./service_stand_in.ts";
import { StoreStandIn } from "./store_stand_in.ts";
import { WeightsStandIn } from "./weights_stand_in.ts";

const readConfig = createValidator<NetworkConfig>(
  control_schema,
  "network_config",
);

type Flags = Readonly<Record<string, string | number | boolean | undefined>>;

function readNumberFlag(flags: Flags, name: string): number | undefined {
  const value = flags[name];
  if (value === undefined) return undefined;
  const number = Number(value);
  if (Number.isFinite(number)) return number;
  throw new Error(`--${name} must be a number`);
}

function readTextFlag(flags: Flags, name: string): string | undefined {
  const value = flags[name];
  return value === undefined ? undefined : String(value);
}

/** Removes the properties that are `undefined`, so that defaults apply. */
function omitUndefined<T extends object>(options: T): WithoutUndefined<T> {
  const entries = Object.entries(options).filter(([, v]) => v !== undefined);
  return Object.fromEntries(entries) as WithoutUndefined<T>;
}

type WithoutUndefined<T> = {
  readonly [K in keyof T]?: Exclude<T[K], undefined>;
};

function readListenOptions(flags: Flags) {
  return {
    port: readNumberFlag(flags, "port"),
    host: readTextFlag(flags, "host"),
  };
}

/** Starts stand-ins and prints the ready line; its `port` is the port of the
 * first stand-in. */
async function runStandIns(...standIns: readonly HttpStandIn[]): Promise<void> {
  const ports: number[] = [];
  for (const standIn of standIns) ports.push(await standIn.start());
  console.log(JSON.stringify({ ready: true, port: ports[0], ports }));
  const stop = () => {
    const closing = standIns.map((standIn) => standIn.close());
    void Promise.all(closing).then(() => process.exit(0));
  };
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
}

function createStore(flags: Flags): StoreStandIn {
  return new StoreStandIn(omitUndefined({
    ...readListenOptions(flags),
    reads_per_s: readNumberFlag(flags, "reads-per-s"),
    writes_per_s: readNumberFlag(flags, "writes-per-s"),
  }));
}

function createList(flags: Flags): ListStandIn {
  const lag_ms = readNumberFlag(flags, "lag-ms");
  return new ListStandIn(
    omitUndefined({ ...readListenOptions(flags), lag_ms }),
  );
}

function createWeights(flags: Flags): WeightsStandIn {
  const limits = {
    loads_per_s: readNumberFlag(flags, "loads-per-s") ?? 0,
    at_once: readNumberFlag(flags, "at-once") ?? 1,
    load_ms: readNumberFlag(flags, "load-ms") ?? 0,
    full_speed_in_flight: readNumberFlag(flags, "full-speed-in-flight") ?? 1,
  };
  return new WeightsStandIn({
    ...omitUndefined(readListenOptions(flags)),
    limits,
  });
}

/** Creates `--count` engines in this process. The action `crash` exits the
 * process only if it runs a single engine; otherwise it closes that engine. */
function createEngines(flags: Flags): readonly EngineStandIn[] {
  const count = readNumberFlag(flags, "count") ?? 1;
  const port = readNumberFlag(flags, "port") ?? 0;
  return Array.from({ length: count }, (_, i) => {
    const engine_port = port === 0 ? 0 : port + i;
    return createEngine({ ...flags, port: engine_port }, count === 1);
  });
}

function createEngine(flags: Flags, isOnlyEngine: boolean): EngineStandIn {
  const batch = omitUndefined({
    max_running: readNumberFlag(flags, "max-running"),
    step_ms: readNumberFlag(flags, "step-ms"),
    step_ms_per_request: readNumberFlag(flags, "step-ms-per-request"),
    step_ms_per_adapter: readNumberFlag(flags, "step-ms-per-adapter"),
    prefill_ms_per_token: readNumberFlag(flags, "prefill-ms-per-token"),
  });
  const cache = omitUndefined({
    blocks: readNumberFlag(flags, "cache-blocks"),
    event_delay_ms: readNumberFlag(flags, "event-delay-ms"),
    event_gap: readNumberFlag(flags, "event-gap"),
  });
  return new EngineStandIn({
    ...omitUndefined({
      ...readListenOptions(flags),
      model: readTextFlag(flags, "model"),
      adapter_slots: readNumberFlag(flags, "adapter-slots"),
      weights_url: readTextFlag(flags, "weights-url"),
      local_address: readTextFlag(flags, "local-address"),
      load_ms: readNumberFlag(flags, "load-ms"),
      report_interval_ms: readNumberFlag(flags, "report-interval-ms"),
    }),
    fencing: flags["fencing"] === true,
    batch,
    cache,
    ...(isOnlyEngine ? { on_crash: () => process.exit(1) } : {}),
  });
}

function createNetwork(flags: Flags): NetworkStandIn {
  const path = readTextFlag(flags, "config");
  if (path === undefined) throw new Error("--config FILE is required");
  const result = readConfig(parse(readFileSync(path, "utf8")));
  if (result.isErr()) {
    const first_violation = result.error[0];
    throw new Error(
      `invalid ${path} at ${first_violation?.path}: ${first_violation?.message}`,
    );
  }
  const listen = omitUndefined(readListenOptions(flags));
  return new NetworkStandIn({ ...listen, config: result.value });
}

const program = sade("banyanlb-standins")
  .option("--port", "Port; 0 picks any free port", 0)
  .option("--host", "Address to listen on", "127.0.0.1");

program.command("store", "Object API")
  .option("--reads-per-s", "Reads per second; 0 means no limit")
  .option("--writes-per-s", "Writes per second; 0 means no limit")
  .action((flags: Flags) => runStandIns(createStore(flags)));

program.command("list", "Instance list")
  .option("--lag-ms", "Age of the returned rows in ms")
  .action((flags: Flags) => runStandIns(createList(flags)));

program.command("weights", "Weight store")
  .option("--loads-per-s", "Loads per second; 0 means no limit")
  .option("--at-once", "Burst: loads that may start at the same time")
  .option("--load-ms", "Time of a load at full speed in ms")
  .option("--full-speed-in-flight", "Loads in flight at full speed")
  .action((flags: Flags) => runStandIns(createWeights(flags)));

program.command("engine", "Model engine")
  .option("--count", "Engines in this process, on successive ports")
  .option("--model", "Name of the base model")
  .option("--adapter-slots", "Number of adapter slots")
  .option("--fencing", "Reject orders with an outdated fencing token")
  .option("--weights-url", "URL of the weight store")
  .option(
    "--local-address",
    "Source address of connections to the weight store",
  )
  .option("--load-ms", "Time of a load without a weight store, in ms")
  .option("--report-interval-ms", "Time between load reports in ms")
  .option("--max-running", "Requests that run concurrently")
  .option("--step-ms", "Time of an empty step in ms")
  .option(
    "--step-ms-per-request",
    "Time that each request adds to a step, in ms",
  )
  .option(
    "--step-ms-per-adapter",
    "Time that each adapter adds to a step, in ms",
  )
  .option("--prefill-ms-per-token", "Time to process a prompt token in ms")
  .option("--cache-blocks", "Blocks of the prefix cache")
  .option(
    "--event-delay-ms",
    "Age of cache events when they are published, in ms",
  )
  .option("--event-gap", "One of this many cache events is lost; 0 loses none")
  .action((flags: Flags) => runStandIns(...createEngines(flags)));

program.command("service", "Plain service")
  .action((flags: Flags) => {
    return runStandIns(
      new ServiceStandIn(omitUndefined(readListenOptions(flags))),
    );
  });

program.command("network", "Links between instances")
  .option("--config", "File with domains, links, sources and delays")
  .action((flags: Flags) => runStandIns(createNetwork(flags)));

program.parse(process.argv);
