#!/usr/bin/env node
/** The daemon's command line.
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
  /** Words that are no option. */
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

/** Runs instances until a signal: a lost session is followed by a new one. */
async function run(settings: FullSettings): Promise<void> {
  const stop = new Promise<"stop">((resolve) => {
    // A second signal must not end a stop that is finishing requests.
    process.on("SIGTERM", () => resolve("stop"));
    process.on("SIGINT", () => resolve("stop"));
  });
  const lost_instances: Promise<void>[] = [];
  for (;;) {
    const instance = await Promise.race([stop, Instance.start(settings)]);
    // Nothing was served under this session yet.
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
