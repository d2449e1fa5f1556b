/** Starts and stops processes for tests and benchmarks.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import {
  MAX_LOG_LINES,
  READY_TIMEOUT_MS,
  STOP_TIMEOUT_MS,
} from "./constants.ts";
import { parseJson } from "./http_io.ts";

/** A process to start. */
export interface LaunchOptions {
  /** Name used in error messages. */
  readonly name: string;
  /** Script that Node.js runs. */
  readonly script: string;
  readonly args?: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  /** Options of Node.js itself, such as `--max-old-space-size=256`. */
  readonly node_options?: readonly string[];
  readonly ready_timeout_ms?: number;
}

/** The first line that a started process prints on its standard output. */
export interface ReadyLine {
  readonly ready: true;
  readonly port: number;
  /** Ports of all servers of the process. */
  readonly ports?: readonly number[];
  readonly [field: string]: unknown;
}

/** Exit code or signal of a process; both `null` if it never started. */
export interface ExitStatus {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

function isReadyLine(value: unknown): value is ReadyLine {
  return typeof value === "object" && value !== null && "ready" in value;
}

/** One started process. */
export class LaunchedProcess {
  readonly name: string;
  readonly exited: Promise<ExitStatus>;
  readonly #child: ChildProcess;
  readonly #log_lines: string[] = [];
  #ready_line: ReadyLine | undefined;
  #on_ready: (line: ReadyLine) => void = () => {};

  constructor(options: LaunchOptions) {
    this.name = options.name;
    const { node_options = [], args = [] } = options;
    this.#child = spawn(
      process.execPath,
      [...node_options, options.script, ...args],
      {
        stdio: ["ignore", "pipe", "pipe"],
        env: { ...process.env, ...options.env },
      },
    );
    this.exited = new Promise((resolve) => {
      this.#child.once("error", () => resolve({ code: null, signal: null }));
      this.#child.once("exit", (code, signal) => resolve({ code, signal }));
    });
    this.#collectLines(this.#child.stdout, true);
    this.#collectLines(this.#child.stderr, false);
  }

  /** Process id; 0 if the process never started. */
  get pid(): number {
    return this.#child.pid ?? 0;
  }

  get running(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null &&
      this.#child.pid !== undefined;
  }

  /** True if the process exited by itself with a non-zero code. */
  get hasCrashed(): boolean {
    return this.#child.exitCode !== null && this.#child.exitCode !== 0;
  }

  /** Port in the ready line; 0 before it. */
  get port(): number {
    return this.#ready_line?.port ?? 0;
  }

  /** Ports of all servers of the process, from the ready line. */
  get ports(): readonly number[] {
    return this.#ready_line?.ports ?? [];
  }

  /** The last `MAX_LOG_LINES` lines of standard output and standard error. */
  get log(): readonly string[] {
    return this.#log_lines;
  }

  /** Waits for the ready line. Rejects with the log if the process exits first
   * or `timeout_ms` passes. */
  async ready(timeout_ms = READY_TIMEOUT_MS): Promise<ReadyLine> {
    if (this.#ready_line !== undefined) return this.#ready_line;
    let timer: NodeJS.Timeout | undefined;
    const line = new Promise<ReadyLine>((resolve) => {
      this.#on_ready = resolve;
    });
    const timeout = new Promise<"late">((resolve) => {
      timer = setTimeout(() => resolve("late"), timeout_ms);
    });
    const outcome = await Promise.race([line, timeout, this.exited]);
    clearTimeout(timer);
    if (outcome !== "late" && "ready" in outcome) return outcome;
    const problem = outcome === "late"
      ? `not ready in ${timeout_ms} ms`
      : "ended";
    throw new Error(`${this.name}: ${problem}\n${this.#log_lines.join("\n")}`);
  }

  /** Sends a signal. Returns `false` if the process has exited. */
  signal(signal: NodeJS.Signals): boolean {
    return this.running && this.#child.kill(signal);
  }

  /** Stops the process: SIGTERM, then SIGKILL after `timeout_ms`. */
  async stop(timeout_ms = STOP_TIMEOUT_MS): Promise<ExitStatus> {
    // A process suspended by SIGSTOP handles SIGTERM only after SIGCONT.
    this.signal("SIGCONT");
    this.signal("SIGTERM");
    const timer = setTimeout(() => this.signal("SIGKILL"), timeout_ms);
    const status = await this.exited;
    clearTimeout(timer);
    return status;
  }

  /** Kills the process with SIGKILL. */
  async kill(): Promise<ExitStatus> {
    this.signal("SIGKILL");
    return await this.exited;
  }

  #collectLines(stream: Readable | null, isStdout: boolean): void {
    if (stream === null) return;
    createInterface({ input: stream }).on("line", (line) => {
      this.#log_lines.push(line);
      if (this.#log_lines.length > MAX_LOG_LINES) this.#log_lines.shift();
      if (isStdout && this.#ready_line === undefined) this.#readLine(line);
    });
  }

  #readLine(line: string): void {
    const value = parseJson(line);
    if (!isReadyLine(value)) return;
    this.#ready_line = value;
    this.#on_ready(value);
  }
}

/** Starts processes and stops the processes that it started.
 *
 * @example
 * ```ts
 * const launcher = new Launcher();
 * const store = await launcher.start({
 *   name: "store",
 *   script: "packages/standins/dist/main.js",
 *   args: ["store", "--port", "0"],
 * });
 * store.signal("SIGSTOP");
 * await launcher.close();
 * ```
 */
export class Launcher {
  readonly #processes = new Set<LaunchedProcess>();
  // Kills the processes if the test runner exits without calling close().
  readonly #on_exit = () => {
    for (const launched of this.#processes) launched.signal("SIGKILL");
  };

  constructor() {
    process.on("exit", this.#on_exit);
  }

  /** Started processes that have not exited. */
  get running(): readonly LaunchedProcess[] {
    return [...this.#processes].filter((launched) => launched.running);
  }

  /** Starts a process and waits for its ready line. */
  async start(options: LaunchOptions): Promise<LaunchedProcess> {
    const launched = new LaunchedProcess(options);
    this.#processes.add(launched);
    await launched.ready(options.ready_timeout_ms);
    return launched;
  }

  /** Stops all processes that this launcher started. */
  async close(timeout_ms = STOP_TIMEOUT_MS): Promise<void> {
    const processes = [...this.#processes];
    await Promise.all(processes.map((launched) => launched.stop(timeout_ms)));
    process.off("exit", this.#on_exit);
  }
}
