#!/usr/bin/env node
/** Command line of the daemon.
 *
 * @module
 */
import sade from "sade";
import { limitHeapGrowth } from "./heap_growth.ts";
import { Instance } from "./instance.ts";
import { formatFaults, type FullSettings, loadSettings } from "./settings.ts";
import { VERSION } from "./version.ts";

const EXIT_SETTINGS = 2;
const EXIT_FAILED = 1;

interface Flags {
  readonly settings?: string;
  /** Positional arguments that are not options. */
  readonly _: readonly string[];
}

function readSettings(flags: Flags): FullSettings {
  const [command] = flags._;
  if (command !== undefined) {
    console.error(`unknown command ${command}; use run or check`);
    process.exit(EXIT_FAILED);
  }
  const file = flags.settings ?? "banyanlb.jsonc";
  const settings = loadSettings(file);
  if (settings.isOk()) return settings.value;
  console.error(formatFaults(settings.error));
  process.exit(EXIT_SETTINGS);
}

/** Runs the daemon until SIGTERM, SIGINT or an operator's drain. When an
 * instance loses its session, a new instance starts while the lost one finishes
 * its running requests. */
async function run(settings: FullSettings): Promise<void> {
  const stop = new Promise<"stop">((resolve) => {
    // The handlers stay registered, so that a second signal doesn't terminate
    // the process while a graceful stop finishes requests.
    process.on("SIGTERM", () => resolve("stop"));
    process.on("SIGINT", () => resolve("stop"));
  });
  const lost_instances: Promise<void>[] = [];
  for (;;) {
    const instance = await Promise.race([stop, Instance.start(settings)]);
    // The starting instance has not served a request yet, so it needs no
    // graceful stop.
    if (instance === "stop") break;
    const ports = instance.ports;
    console.log(
      JSON.stringify({ ready: true, port: ports.caller_port, ...ports }),
    );
    const lost = instance.lost.then(() => "lost" as const);
    const drained = instance.drained.then(() => "drained" as const);
    const outcome = await Promise.race([stop, lost, drained]);
    if (outcome === "lost") {
      await instance.detach();
      lost_instances.push(instance.finishWithoutLeaving());
      continue;
    }
    if (outcome === "stop") await instance.stop();
    break;
  }
  await Promise.all(lost_instances);
}

limitHeapGrowth();

sade("banyanlb")
  .version(VERSION)
  .option("--settings, -s", "Settings file", "banyanlb.jsonc")
  .command("run", "Run the daemon", { default: true })
  .action((flags: Flags) => {
    run(readSettings(flags)).then(() => process.exit(0), (cause) => {
      console.error(cause);
      process.exit(EXIT_FAILED);
    });
  })
  .command("check", "Check the settings and exit")
  .action((flags: Flags) => {
    const settings = readSettings(flags);
    console.log(`settings of ${settings.instance} are valid`);
  })
  .parse(process.argv);
