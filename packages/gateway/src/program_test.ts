import { execFileSync } from "node:child_process";
import {
  closeSync,
  constants,
  openSync,
  readFileSync,
  writeFileSync,
} from "node:fs";
import { afterEach, expect, test, vi } from "vitest";
import { GatewayProcess, occupyNext } from "./testing/gateway_process.ts";

const WAIT = { timeout: 10_000, interval: 20 };

/** Time after which a process that a signal ends has ended, in milliseconds. */
const SIGNAL_MS = 300;

const processes: GatewayProcess[] = [];

afterEach(async () => {
  await Promise.all(processes.splice(0).map((p) => p.close()));
});

function startProcess(
  prepare?: (path: string, settings: string) => void,
): GatewayProcess {
  const process = new GatewayProcess(prepare);
  processes.push(process);
  return process;
}

async function isListening(url: string): Promise<boolean> {
  return await fetch(url).then(() => true, () => false);
}

async function hasStarted(process: GatewayProcess): Promise<void> {
  await vi.waitFor(
    () => expect(process.output).toContain("gateway started"),
    WAIT,
  );
}

/** Opens a pipe for writing once the process reads it. */
async function openPipe(path: string): Promise<number> {
  return await vi.waitFor(
    () => openSync(path, constants.O_WRONLY | constants.O_NONBLOCK),
    WAIT,
  );
}

// FAULT: a change of the settings file that was announced while the process
// started ended it, since the default action of SIGHUP does.
test("a signal before the settings are read does not end the process", async () => {
  const process = startProcess((path) => execFileSync("mkfifo", [path]));
  const pipe = await openPipe(process.settingsPath);
  for (const signal of ["SIGHUP", "SIGUSR1", "SIGUSR2"] as const) {
    process.signal(signal);
  }
  await new Promise((resolve) => setTimeout(resolve, SIGNAL_MS));
  expect(process.end).toBeUndefined();
  writeFileSync(pipe, process.settings());
  closeSync(pipe);
  await hasStarted(process);
});

// Loading the modules of the program takes longer than all else at the start.
test("signals are taken before any other module is loaded", () => {
  const importsOf = (file: string) =>
    readFileSync(new URL(file, import.meta.url), "utf8")
      .match(/^import .*/gm) ?? [];
  expect(importsOf("process_signals.ts")).toEqual([]);
  expect(importsOf("main.ts")).toEqual([
    'import { ProcessSignals } from "./process_signals.ts";',
  ]);
});

test("signals that mean nothing to the program do not end it", async () => {
  const process = startProcess();
  await hasStarted(process);
  const signals = [
    "SIGHUP",
    "SIGUSR1",
    "SIGUSR2",
    "SIGALRM",
    "SIGVTALRM",
    "SIGIO",
    "SIGPIPE",
    "SIGWINCH",
  ] as const;
  for (const signal of [...signals, ...signals]) process.signal(signal);
  await new Promise((resolve) => setTimeout(resolve, SIGNAL_MS));
  expect(process.end).toBeUndefined();
  expect(await isListening(process.url("readiness"))).toBe(true);
});

// LOST: a second request to stop ended the process at once, with all requests
// that it was serving.
test("requests to stop that follow another one change nothing", async () => {
  const process = startProcess();
  await hasStarted(process);
  for (const signal of ["SIGTERM", "SIGTERM", "SIGINT", "SIGHUP"] as const) {
    process.signal(signal);
    await new Promise((resolve) => setTimeout(resolve, SIGNAL_MS));
  }
  expect(process.end).toBeUndefined();
  expect(await isListening(process.url("callers"))).toBe(true);
  expect(await process.ended).toEqual({ code: 0, signal: null });
});

// FAULT: nothing was served for lack of a page of figures.
test("a metrics port that is in use does not keep the process from serving", async () => {
  const other = await occupyNext("metrics");
  const process = startProcess();
  await hasStarted(process);
  expect(await isListening(process.url("callers"))).toBe(true);
  other.close();
  await vi.waitFor(
    async () => expect(await isListening(process.url("metrics"))).toBe(true),
    WAIT,
  );
});

// FAULT: a predecessor that still held its address ended its successor.
test.each(["callers", "readiness", "steering", "peers"] as const)(
  "the address of %s is waited for if it is in use",
  async (port) => {
    const other = await occupyNext(port);
    const process = startProcess();
    await vi.waitFor(
      () => expect(process.output).toContain("address not free yet"),
      WAIT,
    );
    expect(process.end).toBeUndefined();
    other.close();
    await hasStarted(process);
    expect(await isListening(process.url("callers"))).toBe(true);
  },
);

// FAULT: a settings file that was just being replaced ended the process.
test.each(["", '{"node": "gateway-1", "li'])(
  "settings that are being written are waited for: %j",
  async (written) => {
    const process = startProcess((path) => writeFileSync(path, written));
    await vi.waitFor(
      () => expect(process.output).toContain("not complete yet"),
      WAIT,
    );
    writeFileSync(process.settingsPath, process.settings());
    await hasStarted(process);
  },
);

test("a process that is stopped before it serves ends at once and in order", async () => {
  const process = startProcess((path) => writeFileSync(path, ""));
  await vi.waitFor(
    () => expect(process.output).toContain("not complete yet"),
    WAIT,
  );
  process.signal("SIGTERM");
  expect(await process.ended).toEqual({ code: 0, signal: null });
});

test("settings that cannot be used end the process with path and remedy", async () => {
  const process = startProcess((path) =>
    writeFileSync(path, '{"listen": {}, "bounds": {}, "zones": {}}')
  );
  expect(await process.ended).toEqual({ code: 2, signal: null });
  expect(process.output).toContain(process.settingsPath);
});
