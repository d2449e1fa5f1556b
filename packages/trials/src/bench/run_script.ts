/** Runs a script of the benchmark in a separate process.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";

/** Runs a script of this directory and waits for its end. Rejects if the script
 * fails; kills it after `limit_ms` milliseconds and rejects. */
export function runScript(
  script: string,
  options: { readonly args: readonly string[]; readonly limit_ms: number },
): Promise<void> {
  const path = fileURLToPath(new URL(script, import.meta.url));
  const child = spawn(process.execPath, [path, ...options.args], {
    stdio: ["ignore", "inherit", "inherit"],
  });
  const timer = setTimeout(() => child.kill("SIGKILL"), options.limit_ms);
  return new Promise((resolve, reject) => {
    child.once("error", reject);
    child.once("exit", (code, signal) => {
      clearTimeout(timer);
      if (code === 0) resolve();
      else reject(new Error(`${script} ended with ${code ?? signal}`));
    });
  });
}
