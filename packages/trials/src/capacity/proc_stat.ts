/** Processor time and memory of processes, read from `/proc`.
 *
 * @module
 */
import { readFileSync } from "node:fs";

/** Clock ticks a second in `/proc`. */
const TICKS_PER_S = 100;
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;
const BYTES_PER_KIB = 1_024;

/** Processor time that a process has used, in seconds. */
export function cpuSeconds(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  // Fields are counted after the process name, which may contain spaces.
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const user = Number(fields[USER_FIELD]);
  const system = Number(fields[SYSTEM_FIELD]);
  return (user + system) / TICKS_PER_S;
}

function readStatusBytes(pid: number, field: RegExp): number {
  const match = field.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
  return Number(match?.[1] ?? 0) * BYTES_PER_KIB;
}

/** Resident memory of a process, in bytes. */
export function residentBytes(pid: number): number {
  return readStatusBytes(pid, /^VmRSS:\s+(\d+) kB/m);
}

/** Peak resident memory of a process, in bytes. */
export function peakResidentBytes(pid: number): number {
  return readStatusBytes(pid, /^VmHWM:\s+(\d+) kB/m);
}
