#!/usr/bin/env node
/** Entry point of the `banyanctl` executable.
 *
 * @module
 */
import { runCtl } from "./run.ts";

const interrupt = new AbortController();
process.once("SIGINT", () => interrupt.abort());

process.exitCode = await runCtl(process.argv.slice(2), {
  out: (text) => void process.stdout.write(`${text}\n`),
  err: (text) => void process.stderr.write(`${text}\n`),
  env: process.env,
  signal: interrupt.signal,
});
