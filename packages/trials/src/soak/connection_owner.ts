/** Finds the processes that own connections, on Linux.
 *
 * @module
 */
import { readdirSync, readFileSync, readlinkSync } from "node:fs";

const PORT_RADIX = 16;

/** The local ports of a process's connections. A process that has ended has
 * none. */
export function portsOf(pid: number): ReadonlySet<number> {
  const inodes = new Set<string>();
  try {
    for (const fd of readdirSync(`/proc/${pid}/fd`)) {
      const inode = /^socket:\[(\d+)\]$/.exec(linkOf(`/proc/${pid}/fd/${fd}`));
      if (inode?.[1] !== undefined) inodes.add(inode[1]);
    }
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === "ENOENT") return new Set();
    throw err;
  }
  const ports = new Set<number>();
  for (const line of readFileSync("/proc/net/tcp", "utf8").split("\n")) {
    const fields = line.trim().split(/\s+/);
    const port = fields[1]?.split(":")[1];
    if (port === undefined || !inodes.has(fields[9] ?? "")) continue;
    ports.add(parseInt(port, PORT_RADIX));
  }
  return ports;
}

/** The target of a link; empty if it is gone by now. */
function linkOf(path: string): string {
  try {
    return readlinkSync(path);
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === "ENOENT") return "";
    throw err;
  }
}
