/** A child process of a soak and the last lines of its output.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

/** Number of output lines that are kept of each process. */
const MAX_LINES = 3000;

/** Program to start and its settings. */
export interface SoakProgram {
  readonly name: string;
  readonly script: string;
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  readonly onLine?: (line: string) => void;
}

/** A child process. Signals go to this process only, by its id. */
export class SoakProcess {
  readonly name: string;
  readonly lines: string[] = [];
  readonly exited: Promise<number | null>;
  readonly #child: ChildProcess;

  constructor(program: SoakProgram) {
    this.name = program.name;
    this.#child = spawn(process.execPath, [program.script, ...program.args], {
      stdio: ["pipe", "pipe", "pipe"],
      env: { ...process.env, ...program.env },
    });
    this.exited = new Promise((resolve) => {
      this.#child.once("exit", (code) => resolve(code));
    });
    for (const output of [this.#child.stdout, this.#child.stderr]) {
      if (output === null) continue;
      createInterface({ input: output }).on("line", (line) => {
        this.lines.push(line);
        if (this.lines.length > MAX_LINES) this.lines.shift();
        program.onLine?.(line);
      });
    }
    // Writing to a process that has exited fails, which is of no interest.
    this.#child.stdin?.on("error", () => undefined);
  }

  /** Process id. */
  get pid(): number {
    return this.#child.pid ?? 0;
  }

  /** Whether the process exited with an error code, not by a signal. */
  get hasCrashed(): boolean {
    return this.#child.exitCode !== null && this.#child.exitCode !== 0;
  }

  /** Whether the process is running. */
  get running(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Sends a signal if the process is running. */
  signal(signal: NodeJS.Signals): void {
    if (this.running) this.#child.kill(signal);
  }

  /** Writes a line to the standard input of the process. */
  write(line: string): void {
    this.#child.stdin?.write(`${line}\n`);
  }

  /** Kills the process and waits until it has exited. */
  async end(): Promise<void> {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await this.exited;
  }
}
