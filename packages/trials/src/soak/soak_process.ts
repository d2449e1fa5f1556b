/** A child process of a soak and the last lines of its output.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { createInterface } from "node:readline";
import { setTimeout as pause } from "node:timers/promises";

/** Number of output lines that are kept of each process. */
const MAX_LINES = 3000;

/** Signals whose purpose is to end a process. */
const ENDING_SIGNALS: ReadonlySet<NodeJS.Signals> = new Set([
  "SIGKILL",
  "SIGTERM",
]);

/** Time between two looks at a process that starts, in milliseconds. */
const POLL_MS = 2;

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
  /** The signals that were sent and may end the process. */
  readonly #sent = new Set<NodeJS.Signals>();

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

  /** Whether the process ended although nobody asked it to, or not as asked: it
   * exits with 0 when it is stopped. */
  get hasEndedByItself(): boolean {
    const { exitCode, signalCode } = this.#child;
    if (signalCode !== null) return !this.#sent.has(signalCode);
    return exitCode !== null && (exitCode !== 0 || !this.#sent.has("SIGTERM"));
  }

  /** Whether the process is running. */
  get running(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Sends a signal if the process is running. */
  signal(signal: NodeJS.Signals): void {
    if (!this.running) return;
    if (ENDING_SIGNALS.has(signal)) this.#sent.add(signal);
    this.#child.kill(signal);
  }

  /** Sends signals in series, `pauseMs` apart, as long as the process runs. */
  async signalInSeries(
    signals: readonly NodeJS.Signals[],
    pauseMs: number,
  ): Promise<void> {
    for (const signal of signals) {
      await pause(pauseMs);
      this.signal(signal);
    }
  }

  /** Waits until the process takes SIGHUP. Before its runtime runs any program,
   * no program can. */
  async takesSignals(): Promise<void> {
    while (this.running && !isCaught(this.pid)) await pause(POLL_MS);
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

/** Whether a process has a handler for SIGHUP, the first signal of the mask. */
function isCaught(pid: number): boolean {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? "0";
    return (BigInt(`0x${mask}`) & 1n) === 1n;
  } catch {
    // The process has just ended.
    return false;
  }
}
