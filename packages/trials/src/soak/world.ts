/** The deployment under test of a soak: a store, engines, gateways, and the
 * proxies between them.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { SETTINGS_PATH_VARIABLE } from "@banyanlb/platform";
import {
  buildTrialConfiguration,
  type CrashingRequest,
  encodeSettings,
  type EngineRecord,
  type EngineStandInOptions,
  publishAgain,
  publishConfiguration,
  setEvacuated,
  STAND_IN_PROGRAM,
  TRIAL_COLD,
  TRIAL_RATE_WINDOW_MS,
  type TrialConfiguration,
  type TrialLimit,
} from "@banyanlb/platform/stand_in";
import type { LimitChange, WorkspaceLimits } from "./limit_checks.ts";
import type { EvacuationSpan } from "./place_checks.ts";
import { portsOf } from "./connection_owner.ts";
import { LinkProxy, type LinkState } from "./proxy.ts";
import { SoakProcess } from "./soak_process.ts";

/** Path of the gateway's main script. */
const GATEWAY_PROGRAM = new URL(
  "../../../gateway/dist/main.js",
  import.meta.url,
).pathname;

const STORE_PORT = 9000;
const ENGINE_PORT = 8080;
/** Name of the engines' model. */
export const MODEL = "m0";
const ADAPTER_SLOTS = 6;
const REQUEST_SLOTS = 16;
const SHUTDOWN_GRACE_MS = 4000;
const DRAIN_MS = 3000;
const RENEW_INTERVAL_MS = 1200;

/** Signals to a gateway that starts, and the time between them in
 * milliseconds. */
const RELOADS: readonly NodeJS.Signals[] = Array(12).fill("SIGHUP");
const RELOAD_PAUSE_MS = 15;

/** Time until the end of an evacuation is sent to the store again, in
 * milliseconds. */
const EVACUATION_RETRY_MS = 300;

/** Time between two looks whether the store is back, and until what it lost is
 * sent to it again, in milliseconds. */
const RESTORE_POLL_MS = 10;
const WRITE_AGAIN_RETRY_MS = 100;

/** Least age of the first configuration in a copy from which the store comes
 * back, in milliseconds. */
const CONFIGURATION_AGE_MS = 500;

/** Time after which an engine that crashed is started again, in milliseconds. */
const CRASH_RESTART_MS = 1000;

/** Least time between orders of two instances to one engine, in
 * milliseconds. */
export const ORDER_GAP_MS = 1000;

/** Regions by zone. */
export const ZONES: Readonly<Record<string, string>> = {
  "n-a": "north",
  "n-b": "north",
  "s-a": "south",
};

/** The workspace whose limit binds, and its limits. */
export const LIMITED_WORKSPACE = "w3";
export const LIMITS: Readonly<Record<"low" | "usual" | "high", TrialLimit>> = {
  low: { perSecond: 3, burst: 3 },
  usual: { perSecond: 5, burst: 5 },
  high: { perSecond: 8, burst: 8 },
};

/** Number of processes of each kind. `plain` are engines without adapters. */
export interface SoakSize {
  readonly gateways: number;
  readonly engines: number;
  readonly plain: number;
}

interface EngineSlot {
  readonly plain: boolean;
  readonly index: number;
  readonly zone: string;
  readonly proxy: LinkProxy;
  process: SoakProcess;
  /** Number of restarts, which the id of the engine follows from. */
  starts: number;
}

interface GatewaySlot {
  readonly host: string;
  readonly name: string;
  readonly storeLink: LinkProxy;
  process: SoakProcess;
}

/** Starts, restarts and stops the processes of a soak. */
export class SoakWorld {
  readonly model = MODEL;
  readonly records: EngineRecord[] = [];
  readonly gateways: GatewaySlot[] = [];
  readonly engines: EngineSlot[] = [];
  readonly ended: SoakProcess[] = [];
  /** The evacuations so far that the store confirmed. */
  readonly evacuations: EvacuationSpan[] = [];
  /** Whether callers send a part of prompts that crashes engines. */
  sendsCrashingPart = false;
  readonly #crashingRequests: readonly CrashingRequest[];
  readonly #isDirect: boolean;
  readonly #hasTwoVersions: boolean;
  /** Program of every second gateway until its first restart. */
  readonly #formerProgram: string | undefined;
  readonly #prefix: string;
  readonly #directory = mkdtempSync(join(tmpdir(), "banyanlb-soak-"));
  readonly #keys: Record<string, string[]> = {
    w1: ["key-1"],
    w2: ["key-2", "key-2b"],
    [LIMITED_WORKSPACE]: ["key-3"],
  };
  readonly #limitChanges: LimitChange[] = [];
  #limit = LIMITS.usual;
  /** What the operator published last, and its place in the limit changes. */
  #published: {
    readonly spec: TrialConfiguration;
    readonly changeIndex: number;
  } | undefined;
  /** Whether a zone is evacuated, by what the operator sent last. */
  readonly #evacuated = new Map<string, boolean>();
  #store: SoakProcess;
  #startedAt = Infinity;
  /** Number of restores that were started, and after which the store is back. */
  #restoresStarted = 0;
  #restoresEnded = 0;
  #version = 1;
  #isClosed = false;

  /** `crashingRequests` are those on which engines end. Engines are behind
   * proxies unless `isDirect`; the address of an engine that has ended then
   * refuses connections. */
  constructor(
    seed: number,
    {
      crashingRequests = [],
      isDirect = false,
      hasTwoVersions = false,
      formerProgram,
    }: {
      readonly crashingRequests?: readonly CrashingRequest[];
      readonly isDirect?: boolean;
      /** Main script of a former build, which every second gateway runs until its
       * first restart. */
      readonly formerProgram?: string | undefined;
      /** Whether engines run two versions of their software, and a restart
       * changes an engine's. */
      readonly hasTwoVersions?: boolean;
    } = {},
  ) {
    this.#crashingRequests = crashingRequests;
    this.#hasTwoVersions = hasTwoVersions;
    this.#formerProgram = formerProgram;
    this.#isDirect = isDirect;
    const n = (process.pid * 31 + seed) % 50_000;
    this.#prefix = `127.${20 + Math.floor(n / 250)}.${n % 250}`;
    this.#store = this.#startProcess("store", STAND_IN_PROGRAM, [
      "store",
      JSON.stringify(this.storeAddress),
    ], {
      onLine: (line) => {
        if (line.includes('"restored"')) this.#restoresEnded += 1;
      },
    });
  }

  /** Process of the store. */
  get store(): SoakProcess {
    return this.#store;
  }

  /** Address of the store. */
  get storeAddress() {
    return { host: this.#addressOf(1), port: STORE_PORT };
  }

  /** Valid keys by workspace. */
  get keys(): Readonly<Record<string, readonly string[]>> {
    return this.#keys;
  }

  /** The limits of the limited workspace so far. */
  get workspaceLimits(): WorkspaceLimits {
    return {
      workspace: LIMITED_WORKSPACE,
      windowMs: TRIAL_RATE_WINDOW_MS,
      changes: this.#limitChanges,
    };
  }

  /** Hosts of the instances that callers may send requests to. */
  get instances(): readonly string[] {
    return this.gateways.map(({ host }) => host);
  }

  /** Starts all processes and publishes the first configuration. */
  async start(size: SoakSize): Promise<void> {
    const until = performance.now() + 20_000;
    while (!await this.publish()) {
      if (performance.now() > until) throw new Error("the store did not start");
      await pause(100);
    }
    this.#startedAt = performance.now();
    for (let i = 0; i < size.engines + size.plain; i++) {
      const proxy = new LinkProxy({
        host: this.#addressOf(20 + i),
        port: ENGINE_PORT,
      });
      await proxy.listen({ host: this.#addressOf(60 + i), port: ENGINE_PORT });
      const zones = Object.keys(ZONES);
      const slot = {
        plain: i >= size.engines,
        index: i,
        zone: zones[i % zones.length] ?? "",
        proxy,
        starts: 0,
      };
      const engine = { ...slot, process: this.#startEngine(slot) };
      this.engines.push(engine);
      this.#restartAfterCrash(engine);
    }
    for (let i = 0; i < size.gateways; i++) {
      const storeLink = new LinkProxy(this.storeAddress);
      await storeLink.listen({
        host: this.#addressOf(140 + i),
        port: STORE_PORT,
      });
      const host = this.#addressOf(100 + i);
      const name = `gateway-${i + 1}`;
      this.#writeSettings(i, size.gateways);
      this.gateways.push({
        host,
        name,
        storeLink,
        process: this.#startGateway(
          name,
          i % 2 === 0 ? GATEWAY_PROGRAM : this.#formerProgram,
        ),
      });
    }
  }

  /** Publishes a new version of the configuration with the current keys and,
   * if given, another limit. Returns whether the store accepted it. */
  async publish(
    { limit = this.#limit }: { readonly limit?: TrialLimit } = {},
  ): Promise<boolean> {
    this.#version += 1;
    this.#limit = limit;
    const changeIndex = this.#limitChanges.push({ limit, sentAt: Date.now() }) -
      1;
    const spec = buildTrialConfiguration({
      version: this.#version,
      model: MODEL,
      adapterSlots: ADAPTER_SLOTS,
      slots: REQUEST_SLOTS,
      keys: this.#keys,
      limits: { [LIMITED_WORKSPACE]: limit },
    });
    this.#published = { spec, changeIndex };
    const isAccepted = await publishConfiguration(this.storeAddress, spec);
    if (isAccepted) this.#recordAccepted(changeIndex);
    return isAccepted;
  }

  /** Lets the store come back from a copy of the given age after `awayMs`, and
   * writes again what it lost. Resolves when the store confirmed all of it. */
  async restoreStore(
    { ageMs, awayMs }: { readonly ageMs: number; readonly awayMs: number },
  ): Promise<void> {
    this.#restoresStarted += 1;
    const restores = this.#restoresStarted;
    const longestMs = performance.now() - this.#startedAt -
      CONFIGURATION_AGE_MS;
    const copyAgeMs = Math.round(Math.max(0, Math.min(ageMs, longestMs)));
    this.#store.write(`restore ${copyAgeMs} ${awayMs}`);
    while (!this.#isClosed && this.#restoresEnded < restores) {
      await pause(RESTORE_POLL_MS);
    }
    while (!this.#isClosed && !await this.#writeAgain()) {
      await pause(WRITE_AGAIN_RETRY_MS);
    }
  }

  /** Writes again what the operator wrote. Returns whether the store confirmed
   * it and the operator has sent nothing else about a zone meanwhile. */
  async #writeAgain(): Promise<boolean> {
    if (this.#published !== undefined) {
      const { spec, changeIndex } = this.#published;
      if (!await publishAgain(this.storeAddress, spec)) return false;
      this.#recordAccepted(changeIndex);
    }
    for (const [zone, isEvacuated] of this.#evacuated) {
      if (!await setEvacuated(this.storeAddress, zone, isEvacuated)) {
        return false;
      }
      if (this.#evacuated.get(zone) !== isEvacuated) return false;
    }
    return true;
  }

  #recordAccepted(changeIndex: number): void {
    const change = this.#limitChanges[changeIndex];
    if (change === undefined || change.acceptedAt !== undefined) return;
    this.#limitChanges[changeIndex] = { ...change, acceptedAt: Date.now() };
  }

  /** Evacuates a zone. Returns the function that ends the evacuation, after which
   * its engines are cold. */
  evacuate(zone: string): () => Promise<void> {
    this.#evacuated.set(zone, true);
    const evacuated = setEvacuated(this.storeAddress, zone, true)
      .then((isAccepted) => isAccepted ? Date.now() : undefined);
    return async () => {
      const acceptedAt = await evacuated;
      for (const engine of this.engines) {
        if (engine.zone === zone && !engine.plain) this.coolDown(engine);
      }
      const endedAt = Date.now();
      this.#evacuated.set(zone, false);
      while (
        !this.#isClosed && !await setEvacuated(this.storeAddress, zone, false)
      ) await pause(EVACUATION_RETRY_MS);
      if (acceptedAt !== undefined) {
        this.evacuations.push({ zone, acceptedAt, endedAt });
      }
    };
  }

  /** Lets an engine become cold. */
  coolDown({ process }: { readonly process: SoakProcess }): void {
    process.write(`cold ${TRIAL_COLD.ms}`);
  }

  /** Removes a key and publishes the configuration with another limit. Returns
   * whether the store accepted it. */
  withdraw(
    workspace: string,
    rest: { readonly key: string; readonly limit: TrialLimit },
  ): Promise<boolean> {
    this.#keys[workspace] = (this.#keys[workspace] ?? [])
      .filter((k) => k !== rest.key);
    return this.publish({ limit: rest.limit });
  }

  /** Sets the state of the links to all engines of a zone. */
  setZoneLinks(zone: string, state: LinkState): void {
    for (const engine of this.engines) {
      if (engine.zone === zone) engine.proxy.setState(state);
    }
  }

  /** Cuts gateways off from all engines. Returns the function that heals it. */
  cutFromEngines(slots: readonly GatewaySlot[]): () => void {
    const isCut = (port: number) =>
      slots.some(({ process }) => portsOf(process.pid).has(port));
    for (const { proxy } of this.engines) proxy.cut(isCut);
    return () => {
      for (const { proxy } of this.engines) proxy.cut(undefined);
    };
  }

  /** Restarts a gateway if it has exited. */
  restartGateway(slot: GatewaySlot): void {
    if (slot.process.running || this.#isClosed) return;
    this.ended.push(slot.process);
    slot.process = this.#startGateway(slot.name);
    void this.#reloadDuringStart(slot.process);
  }

  /** Announces changes of the settings file while a gateway starts. */
  async #reloadDuringStart(process: SoakProcess): Promise<void> {
    await process.takesSignals();
    await process.signalInSeries(RELOADS, RELOAD_PAUSE_MS);
  }

  /** Restarts an engine if it has exited. */
  restartEngine(slot: EngineSlot): void {
    if (slot.process.running || this.#isClosed) return;
    slot.starts += 1;
    slot.process = this.#startEngine(slot);
    this.#restartAfterCrash(slot);
  }

  #restartAfterCrash(slot: EngineSlot): void {
    const { process } = slot;
    void process.exited.then(() => pause(CRASH_RESTART_MS)).then(() => {
      if (process.hasCrashed) this.restartEngine(slot);
    });
  }

  /** Describes each gateway that ended by itself, with its last lines of
   * output. */
  describeCrashes(): readonly string[] {
    const all = [...this.ended, ...this.gateways.map((g) => g.process)];
    return all.filter((p) => p.hasEndedByItself)
      .map((p) =>
        `${p.name} ended by itself: ${p.lines.slice(-5).join(" | ")}`
      );
  }

  /** Output lines of the store and all gateways, each prefixed with the name of
   * the process. */
  logs(): readonly string[] {
    const all = [
      this.#store,
      ...this.ended,
      ...this.gateways.map((g) => g.process),
    ];
    return all.flatMap((p) => p.lines.map((line) => `${p.name} ${line}`));
  }

  /** Kills all processes, closes the proxies and removes the settings files. */
  async close(): Promise<void> {
    this.#isClosed = true;
    const processes = [
      this.#store,
      ...this.gateways.map((g) => g.process),
      ...this.engines.map((e) => e.process),
    ];
    await Promise.all(processes.map((p) => p.end()));
    for (const { storeLink } of this.gateways) storeLink.close();
    for (const { proxy } of this.engines) proxy.close();
    rmSync(this.#directory, { recursive: true, force: true });
  }

  #addressOf(hostNumber: number): string {
    return `${this.#prefix}.${hostNumber}`;
  }

  #startProcess(
    name: string,
    script: string,
    args: readonly string[],
    rest: {
      readonly env?: Readonly<Record<string, string>>;
      readonly onLine?: (line: string) => void;
    } = {},
  ): SoakProcess {
    return new SoakProcess({ name, script, args, ...rest });
  }

  #startEngine(
    slot: {
      readonly plain: boolean;
      readonly index: number;
      readonly zone: string;
      readonly starts: number;
    },
  ): SoakProcess {
    const { plain, index, zone, starts } = slot;
    const advertisedHost = this.#addressOf((this.#isDirect ? 20 : 60) + index);
    const options: EngineStandInOptions = {
      // Every second restart reuses the id of the start before it.
      id: `e-${index}-${Math.floor(starts / 2)}`,
      service: plain ? "plain" : "engines",
      zone,
      host: this.#addressOf(20 + index),
      port: ENGINE_PORT,
      advertisedAddress: `${advertisedHost}:${ENGINE_PORT}`,
      store: this.storeAddress,
      slots: REQUEST_SLOTS,
      adapterSlots: plain ? 0 : ADAPTER_SLOTS,
      model: MODEL,
      renewIntervalMs: RENEW_INTERVAL_MS,
      drainMs: DRAIN_MS,
      coldStartMs: plain || starts === 0 ? 0 : TRIAL_COLD.ms,
      crashingRequests: this.#crashingRequests,
      softwareVersion: this.#hasTwoVersions && (index + starts) % 2 === 1
        ? "v2"
        : "v1",
    };
    return this.#startProcess(options.id, STAND_IN_PROGRAM, [
      "engine",
      JSON.stringify(options),
    ], {
      onLine: (line) => {
        if (line.startsWith("{")) {
          this.records.push(JSON.parse(line) as EngineRecord);
        }
      },
    });
  }

  #settingsPath(name: string): string {
    return join(this.#directory, `${name}.json`);
  }

  #writeSettings(index: number, count: number): void {
    const zones = Object.keys(ZONES);
    const name = `gateway-${index + 1}`;
    const text = encodeSettings({
      name,
      host: this.#addressOf(100 + index),
      zone: zones[index % zones.length] ?? "",
      zones: ZONES,
      seeds: Array.from(
        { length: Math.min(3, count) },
        (_, i) => this.#addressOf(100 + i),
      ),
      store: `${this.#addressOf(140 + index)}:${STORE_PORT}`,
      orderGapMs: ORDER_GAP_MS,
      graceMs: SHUTDOWN_GRACE_MS,
    });
    writeFileSync(this.#settingsPath(name), text);
  }

  #startGateway(name: string, program = GATEWAY_PROGRAM): SoakProcess {
    return this.#startProcess(name, program, [], {
      env: { [SETTINGS_PATH_VARIABLE]: this.#settingsPath(name) },
    });
  }
}
