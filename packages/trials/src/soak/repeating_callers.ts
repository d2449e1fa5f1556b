/** Callers of a soak who send the same requests again and again, crashing and
 * sound ones, at all gateways.
 *
 * @module
 */
import { Agent } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { TRIAL_PORTS } from "@banyanlb/platform/stand_in";
import type { Attempt } from "./checks.ts";
import {
  type GuiltyRequest,
  type RepeatedRequest,
  soundTwins,
} from "./crashing_requests.ts";
import { sendRequest } from "./send_request.ts";

/** Time between two sends of a crashing request, and between those of a caller
 * who is quick, for how long one is quick, in milliseconds. */
const STEADY_PAUSE_MS = 1000;
const QUICK_PAUSE_MS = 20;
const QUICK_MS = 600;

/** Number of sends at once to each gateway. */
const AT_ONCE = 2;

/** Time between the response to a sound request and the next one, in
 * milliseconds. */
const SOUND_PAUSE_MS = 150;

/** Event from which every second send of a crashing stream goes on. */
const RESUMED_AFTER = "3";

/** Settings of the callers. */
export interface RepeatingCallersOptions {
  readonly random: () => number;
  /** Hosts of the gateways. */
  readonly instances: readonly string[];
  readonly guilty: readonly GuiltyRequest[];
}

/** The callers of crashing requests and of their sound twins. They keep their
 * connections open, and send each request without regard to earlier
 * responses. */
export class RepeatingCallers {
  readonly #options: RepeatingCallersOptions;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #attempts: Attempt[] = [];
  readonly #pending = new Set<Promise<void>>();
  #sendCount = 0;
  #sendsGuilty = true;
  #isClosed = false;

  constructor(options: RepeatingCallersOptions) {
    this.#options = options;
  }

  /** Finished attempts. */
  get attempts(): readonly Attempt[] {
    return this.#attempts;
  }

  /** Sends requests until `close` is called. */
  async run(): Promise<void> {
    const { guilty } = this.#options;
    await Promise.all([
      ...guilty.map((request) => this.#repeatGuilty(request)),
      ...guilty.flatMap(soundTwins).map((twin) => this.#repeatSound(twin)),
    ]);
    await Promise.all(this.#pending);
    this.#agent.destroy();
  }

  /** Sends no more crashing requests. */
  stopGuilty(): void {
    this.#sendsGuilty = false;
  }

  /** Makes `run` return after the current requests. */
  close(): void {
    this.#sendsGuilty = false;
    this.#isClosed = true;
  }

  async #repeatGuilty(guilty: GuiltyRequest): Promise<void> {
    await pause(guilty.delayMs);
    if (guilty.pace === "at_once" && this.#sendsGuilty) {
      for (const host of this.#options.instances) {
        for (let i = 0; i < AT_ONCE; i++) this.#begin(guilty, host);
      }
    }
    const quickUntil = performance.now() +
      (guilty.pace === "quick" ? QUICK_MS : 0);
    while (this.#sendsGuilty) {
      this.#begin(guilty, this.#anyHost());
      await pause(
        performance.now() < quickUntil ? QUICK_PAUSE_MS : STEADY_PAUSE_MS,
      );
    }
  }

  async #repeatSound(twin: RepeatedRequest): Promise<void> {
    while (!this.#isClosed) {
      await this.#send(twin, { host: this.#anyHost(), isCrashing: false });
      await pause(SOUND_PAUSE_MS);
    }
  }

  #anyHost(): string {
    const { instances, random } = this.#options;
    return instances[Math.floor(random() * instances.length)] ?? "";
  }

  #begin(guilty: GuiltyRequest, host: string): void {
    const sent = this.#send(guilty, { host, isCrashing: true })
      .finally(() => this.#pending.delete(sent));
    this.#pending.add(sent);
  }

  async #send(
    req: RepeatedRequest,
    { host, isCrashing }: {
      readonly host: string;
      readonly isCrashing: boolean;
    },
  ): Promise<void> {
    const { name, kind, path, body, workspace, key, model, parts } = req;
    this.#sendCount += 1;
    const isResumed = isCrashing && kind === "stream" &&
      this.#sendCount % 2 === 0;
    const attempt = {
      id: `r-${this.#sendCount}`,
      kind,
      workspace,
      model,
      sentAt: Date.now(),
      isCrashing,
      repeated: name,
      isKeyValid: true,
    };
    const response = await sendRequest(`${host}:${TRIAL_PORTS.callers}`, {
      ...attempt,
      agent: this.#agent,
      path,
      body,
      key,
      parts,
      lastEventId: isResumed ? RESUMED_AFTER : undefined,
    });
    this.#attempts.push({ ...attempt, ...response, endedAt: Date.now() });
  }
}
