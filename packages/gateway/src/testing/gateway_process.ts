/** The gateway's program as a process, with its settings file.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { SETTINGS_PATH_VARIABLE } from "@banyanlb/platform";
import { encodeSettings, TRIAL_PORTS } from "@banyanlb/platform/stand_in";
import { bindServer } from "../open_listener.ts";

const PROGRAM = new URL("../../dist/main.js", import.meta.url).pathname;

const GRACE_MS = 6000;

let hostCount = 0;

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A process of the gateway on an address of its own. Nothing listens at the
 * address of its store. */
export class GatewayProcess {
  readonly host: string;
  readonly settingsPath: string;
  readonly ended: Promise<ProcessEnd>;
  end: ProcessEnd | undefined;
  output = "";
  readonly #directory = mkdtempSync(join(tmpdir(), "banyanlb-process-"));
  readonly #child: ChildProcess;

  /** `prepare` runs before the process starts and places the settings file. */
  constructor(
    prepare: (path: string, settings: string) => void = writeFileSync,
  ) {
    this.host = freeHost();
    this.settingsPath = join(this.#directory, "settings.json");
    prepare(this.settingsPath, this.settings());
    this.#child = spawn(process.execPath, [PROGRAM], {
      env: {
        PATH: process.env.PATH,
        [SETTINGS_PATH_VARIABLE]: this.settingsPath,
      },
    });
    const append = (text: Buffer) => (this.output += text.toString());
    this.#child.stdout?.on("data", append);
    this.#child.stderr?.on("data", append);
    this.ended = new Promise((resolve) =>
      this.#child.once("exit", (code, signal) => {
        this.end = { code, signal };
        resolve(this.end);
      })
    );
  }

  /** The text of the settings file. */
  settings(): string {
    return encodeSettings({
      name: "gateway-1",
      host: this.host,
      zone: "z",
      zones: { z: "r" },
      seeds: [this.host],
      store: `${this.host}:1`,
      orderGapMs: 1000,
      graceMs: GRACE_MS,
    });
  }

  /** The URL of a listener. */
  url(port: keyof typeof TRIAL_PORTS, path = "/"): string {
    return `http://${this.host}:${TRIAL_PORTS[port]}${path}`;
  }

  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Kills the process and removes its files. */
  async close(): Promise<void> {
    this.signal("SIGKILL");
    await this.ended;
    rmSync(this.#directory, { recursive: true });
  }
}

/** Takes the address of a listener of the process that starts next. */
export async function occupyNext(
  port: keyof typeof TRIAL_PORTS,
): Promise<Server> {
  const server = createServer((socket) => socket.destroy());
  await bindServer(server, {
    host: hostAt(hostCount),
    port: TRIAL_PORTS[port],
  });
  return server;
}

function freeHost(): string {
  hostCount += 1;
  return hostAt(hostCount - 1);
}

function hostAt(count: number): string {
  return `127.${200 + process.pid % 50}.${Math.floor(process.pid / 50) % 250}.${
    10 + count
  }`;
}
