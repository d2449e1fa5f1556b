/** The gateway's command line.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { setTimeout as pause } from "node:timers/promises";
import { EventLog } from "@banyanlb/core";
import {
  decodeSettings,
  type InstanceSettings,
  SETTINGS_PATH_VARIABLE,
} from "@banyanlb/platform";
import pino from "pino";
import sade from "sade";
import * as events from "./events.ts";
import { type ExplainOptions, runExplain } from "./explain_command.ts";
import { Gateway } from "./gateway.ts";
import { LogStream } from "./log_stream.ts";
import type { ProcessSignals } from "./process_signals.ts";

const VERSION = "0.1.0";

/** How long the process waits for a settings file that is missing or incomplete,
 * in milliseconds, and the time between two attempts. */
const SETTINGS_WAIT_MS = 5000;
const SETTINGS_PAUSE_MS = 50;

/** Exit code for settings that cannot be used. */
const BAD_SETTINGS_EXIT_CODE = 2;

function readSettings(path: string): InstanceSettings {
  return decodeSettings(readFileSync(path, "utf8"));
}

/** Reads the settings file; waits for a while if it is not complete yet. */
async function awaitSettings(
  path: string,
  log: EventLog,
): Promise<InstanceSettings> {
  const until = performance.now() + SETTINGS_WAIT_MS;
  for (let attempt = 1;; attempt += 1) {
    try {
      return readSettings(path);
    } catch (err) {
      const isIncomplete = err instanceof SyntaxError ||
        (err as NodeJS.ErrnoException).code === "ENOENT";
      if (!isIncomplete || performance.now() > until) throw err;
      if (attempt === 1) {
        log.write(events.SETTINGS_AWAITED, { error: String(err) });
      }
      await pause(SETTINGS_PAUSE_MS);
    }
  }
}

function exitWithError(message: string): never {
  console.error(message);
  process.exit(BAD_SETTINGS_EXIT_CODE);
}

async function serve(path: string, signals: ProcessSignals): Promise<void> {
  const logStream = new LogStream(process.stdout);
  const log = new EventLog(
    pino(
      { base: undefined, timestamp: pino.stdTimeFunctions.epochTime },
      logStream,
    ),
  );
  process.on("uncaughtException", (err) => {
    log.write(events.UNEXPECTED_ERROR, { error: err.stack ?? String(err) });
  });
  process.on("unhandledRejection", (err) => {
    log.write(events.UNEXPECTED_ERROR, { error: String(err) });
  });
  const settings = await awaitSettings(path, log);
  const gateway = new Gateway(settings, {
    log,
    droppedLogLines: () => logStream.dropped,
  });
  signals.register({
    onStop: () => void gateway.stop().then(() => process.exit(0)),
    onReload: () => {
      try {
        readSettings(path);
        log.write(events.SETTINGS_REREAD);
      } catch (err) {
        log.write(events.SETTINGS_INVALID, { error: String(err) });
      }
    },
  });
  await gateway.start();
}

/** Runs the command that the arguments of the process name. */
export function runProgram(signals: ProcessSignals): void {
  sade("banyanlb-gateway")
    .version(VERSION)
    .command("serve", "Serves callers on this machine until SIGTERM.", {
      default: true,
    })
    .option(
      "--settings",
      `Path of the settings file; by default from ${SETTINGS_PATH_VARIABLE}`,
    )
    .option("--check", "Check the settings file and exit")
    .action(async (options: { settings?: string; check?: boolean }) => {
      const path = options.settings ?? process.env[SETTINGS_PATH_VARIABLE];
      if (path === undefined) {
        exitWithError(
          `no settings file; name one with --settings or set ${SETTINGS_PATH_VARIABLE}`,
        );
      }
      try {
        if (options.check === true) readSettings(path);
        else await serve(path, signals);
      } catch (err) {
        exitWithError(
          `${path}: ${err instanceof Error ? err.message : String(err)}`,
        );
      }
    })
    .command("explain", "Explains where a request would go now, and why.")
    .option("--at", "URL of an instance's metrics, http://HOST:PORT")
    .option("--host", "Host that the caller calls")
    .option("--path", "Path of the request")
    .option("--workspace", "Name of the caller's workspace")
    .option("--model", "Name of the base model")
    .option("--adapter", "Name of the adapter")
    .option("--deadline", "Time that the caller waits, in milliseconds")
    .option("--json", "Print JSON")
    .example(
      "explain --at http://10.0.0.1:7600 --host api.example --path /chat/",
    )
    .action(async (options: ExplainOptions) => {
      try {
        process.exit(await runExplain(options) ? 0 : 1);
      } catch (err) {
        exitWithError(err instanceof Error ? err.message : String(err));
      }
    })
    .parse(process.argv);
}
