/** One process of a soak, and the lines that it wrote.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

/** Lines kept of each process, for a finding. */
const MAX_LINES = 3000;

/** What to start. */
export interface SoakProgram {
  readonly name: string;
  readonly script: string;
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  readonly onLine?: (line: string) => void;
}

/** A started process. Signals go to it alone, by its id. */
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
    // A process that has ended takes no more lines.
    this.#child.stdin?.on("error", () => undefined);
  }

  /** Process id. */
  get pid(): number {
    return this.#child.pid ?? 0;
  }

  /** Whether it ended by itself with an error. */
  get hasCrashed(): boolean {
    return this.#child.exitCode !== null && this.#child.exitCode !== 0;
  }

  /** Whether it runs. */
  get running(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    if (this.running) this.#child.kill(signal);
  }

  /** Writes a line to its standard input. */
  write(line: string): void {
    this.#child.stdin?.write(`${line}\n`);
  }

  /** Ends it at once. */
  async end(): Promise<void> {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await this.exited;
  }
}
