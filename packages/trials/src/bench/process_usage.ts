/** Processor time and memory of a process, from `/proc`.
 *
 * @module
 */
import { readFile } from "node:fs/promises";

const TICKS_PER_S = 100;
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;
const BYTES_PER_KB = 1_024;
const KB_PER_MB = 1_024;

/** Seconds of processor time that a process has used. */
export async function processorSeconds(pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, "utf8");
  // The process name in parentheses may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
  return ticks / TICKS_PER_S;
}

/** Resident memory of a process in megabytes. */
export async function residentMegabytes(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, "utf8");
  const kilobytes = Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? NaN);
  return kilobytes * BYTES_PER_KB / (BYTES_PER_KB * KB_PER_MB);
}
