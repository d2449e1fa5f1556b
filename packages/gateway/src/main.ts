/** The gateway's program.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { EventLog } from "@banyanlb/core";
import { decodeSettings, SETTINGS_PATH_VARIABLE } from "@banyanlb/platform";
import pino from "pino";
import * as events from "./events.ts";
import { Gateway } from "./gateway.ts";
import { LogStream } from "./log_stream.ts";

const path = process.env[SETTINGS_PATH_VARIABLE];
if (path === undefined) {
  console.error(
    `${SETTINGS_PATH_VARIABLE} is not set; set it to the settings file's path`,
  );
  process.exit(2);
}
const stream = new LogStream(process.stdout);
const log = new EventLog(
  pino(
    { base: undefined, timestamp: pino.stdTimeFunctions.epochTime },
    stream,
  ),
);
const gateway = new Gateway(decodeSettings(readFileSync(path, "utf8")), {
  log,
  droppedLines: () => stream.dropped,
});

process.on("uncaughtException", (err) => {
  log.write(events.UNEXPECTED, { error: err.stack ?? String(err) });
});
process.on("unhandledRejection", (err) => {
  log.write(events.UNEXPECTED, { error: String(err) });
});
process.on("SIGTERM", () => void gateway.stop().then(() => process.exit(0)));
process.on("SIGHUP", () => {
  try {
    decodeSettings(readFileSync(path, "utf8"));
    log.write(events.SETTINGS_READ);
  } catch (err) {
    log.write(events.SETTINGS_REFUSED, { error: String(err) });
  }
});
await gateway.start();
