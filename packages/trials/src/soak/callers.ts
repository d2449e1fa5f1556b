/** Simulated callers of a soak: they resolve gateway addresses and send
 * requests over keep-alive connections.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { Agent } from "node:http";
import {
  CRASHING_PART,
  resolveAddresses,
  TRIAL_HOST,
} from "@banyanlb/platform/stand_in";
import type { Attempt, RequestKind } from "./checks.ts";
import {
  type OutgoingRequest,
  type ReceivedResponse,
  sendRequest,
} from "./send_request.ts";

/** How long a caller caches resolved addresses, in milliseconds. */
const ADDRESS_TTL_MS = 1000;

/** Pause between the requests of one caller, in milliseconds. */
const REQUEST_PAUSE_MS = 20;

/** How long a caller avoids an address that failed, in milliseconds. */
const FAILED_ADDRESS_MS = 1000;

/** First part of every prompt. */
const FIRST_PART = "f0";

/** Number of turns that no conversation has. */
const TURNS_MAX = 16;

/** Ratio of the streams that have a part which crashes engines, while such
 * requests are sent. */
const CRASHING_RATIO = 0.1;

/** How often a caller takes a stream up that broke off, and the pause before, in
 * milliseconds. */
const TAKE_UPS_MAX = 3;
const TAKE_UP_PAUSE_MS = 150;

/** Bounds of the time after which a caller gives up a request that it does not
 * wait for, in milliseconds. */
const MIN_LEAVE_MS = 100;
const LEAVE_JITTER_MS = 300;

/** Settings that the callers of a soak share. */
export interface CallerOptions {
  readonly random: () => number;
  /** Addresses of the instances that resolve addresses. */
  readonly instances: readonly string[];
  /** Zones that callers may be in, each with its region. */
  readonly zones: Readonly<Record<string, string>>;
  readonly model: string;
  readonly adapters: number;
  /** Returns the workspace and key of the next request. */
  readonly pickKey: () => readonly [workspace: string, key: string];
  /** Whether a key has been valid from `sinceMs`, a time as in `Date.now`,
   * until now. */
  readonly isKeyValidSince: (key: string, sinceMs: number) => boolean;
  /** Whether some streams have a part that crashes engines. */
  readonly sendsCrashingPart: () => boolean;
  /** Ratio of the streams and reads that the caller gives up early. */
  readonly leaveRatio: number;
  /** Whether the caller takes streams up that broke off. */
  readonly takesUp?: boolean;
}

/** One caller, with its own connection pool. */
export class SoakCaller {
  readonly #options: CallerOptions;
  readonly #attempts: Attempt[] = [];
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 20 });
  readonly #failedAtMs = new Map<string, number>();
  readonly #name: string;
  readonly #zone: string;
  #addresses: readonly string[] = [];
  #resolvedAtMs = -Infinity;
  #requestCount = 0;
  #isClosed = false;

  constructor(name: string, options: CallerOptions) {
    this.#name = name;
    this.#options = options;
    const zones = Object.keys(options.zones);
    this.#zone = zones[Math.floor(options.random() * zones.length)] ?? "";
  }

  /** Finished attempts, oldest first. */
  get attempts(): readonly Attempt[] {
    return this.#attempts;
  }

  /** Sends one request at a time until `close` is called. */
  async run(): Promise<void> {
    while (!this.#isClosed) {
      await this.#refreshAddresses();
      const nowMs = performance.now();
      const usableAddresses = this.#addresses.filter((a) =>
        nowMs - (this.#failedAtMs.get(a) ?? -Infinity) > FAILED_ADDRESS_MS
      );
      const address = this.#pick(
        usableAddresses.length > 0 ? usableAddresses : this.#addresses,
      );
      if (address !== undefined) await this.#sendAndRecord(address);
      await new Promise((resolve) => setTimeout(resolve, REQUEST_PAUSE_MS));
    }
    this.#agent.destroy();
  }

  /** Makes `run` return after the current request. */
  close(): void {
    this.#isClosed = true;
  }

  #pick<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.#options.random() * items.length)];
  }

  async #refreshAddresses(): Promise<void> {
    if (performance.now() - this.#resolvedAtMs < ADDRESS_TTL_MS) return;
    const host = this.#pick(this.#options.instances) ?? "";
    const found = await resolveAddresses(host, {
      zone: this.#zone,
      region: this.#options.zones[this.#zone] ?? "",
    });
    if (found.length === 0) return;
    this.#addresses = found;
    this.#resolvedAtMs = performance.now();
  }

  async #sendAndRecord(address: string): Promise<void> {
    const { random, pickKey, model, adapters } = this.#options;
    const kinds: readonly RequestKind[] = ["stream", "stream", "once", "read"];
    const kind = this.#pick(kinds) ?? "read";
    const [workspace, key] = pickKey();
    this.#requestCount += 1;
    // The cube skews the popularity: few adapters get most of the requests.
    const adapter = `${model}/a${Math.floor(random() ** 3 * adapters)}`;
    const attempt = {
      id: `${this.#name}-${this.#requestCount}`,
      kind,
      workspace,
      model: kind === "stream" ? adapter : undefined,
      sentAt: Date.now(),
      isCrashing: kind === "stream" && this.#options.sendsCrashingPart() &&
        random() < CRASHING_RATIO,
    };
    const ownPart = this.#requestCount.toString(16);
    const turns = this.#turns();
    const parts = attempt.isCrashing
      ? [FIRST_PART, CRASHING_PART, ...turns, ownPart]
      : [FIRST_PART, ...turns, ownPart];
    const leavesEarly = kind !== "once" && random() < this.#options.leaveRatio;
    const leaveAfterMs = MIN_LEAVE_MS + random() * LEAVE_JITTER_MS;
    const outgoing = {
      ...attempt,
      agent: this.#agent,
      path: `/${kind}/${attempt.id}`,
      body: `${TRIAL_HOST} ${attempt.id}`,
      key,
      leaveAfterMs: leavesEarly ? leaveAfterMs : undefined,
      parts: kind === "stream" ? parts : undefined,
    };
    const first = await this.#send(address, outgoing);
    if (kind !== "stream" || this.#options.takesUp !== true) return;
    let eventsBefore = eventCountOf(first.body);
    for (let i = 0; i < TAKE_UPS_MAX && eventsBefore > 0; i += 1) {
      const { complete, leftAt } = this.#attempts.at(-1) ?? first;
      const wasServed = this.#attempts.at(-1)?.status === 200 && complete;
      if (wasServed || leftAt !== undefined || this.#isClosed) return;
      await new Promise((resolve) => setTimeout(resolve, TAKE_UP_PAUSE_MS));
      const other = this.#pick(this.#addresses);
      if (other === undefined) return;
      const response = await this.#send(other, {
        ...outgoing,
        id: `${attempt.id}-${i + 1}`,
        sentAt: Date.now(),
        resumes: attempt.id,
        eventsBefore,
        lastEventId: String(eventsBefore),
      });
      eventsBefore += eventCountOf(response.body);
    }
  }

  /** Sends a request and records the attempt. */
  async #send(
    address: string,
    { agent, path, body, key, leaveAfterMs, parts, lastEventId, ...attempt }:
      & Omit<
        Attempt,
        keyof ReceivedResponse | "endedAt" | "isKeyValid"
      >
      & Pick<
        OutgoingRequest,
        | "agent"
        | "path"
        | "body"
        | "key"
        | "leaveAfterMs"
        | "parts"
        | "lastEventId"
      >,
  ): Promise<ReceivedResponse> {
    const response = await sendRequest(address, {
      ...attempt,
      agent,
      path,
      body,
      key,
      leaveAfterMs,
      parts,
      lastEventId,
    });
    const { status, leftAt } = response;
    if (status === 0 && leftAt === undefined) {
      this.#failedAtMs.set(address, performance.now());
    }
    this.#attempts.push({
      ...attempt,
      ...response,
      endedAt: Date.now(),
      isKeyValid: this.#options.isKeyValidSince(key, attempt.sentAt),
    });
    return response;
  }

  /** Ids of the turns of a conversation before the request, as hash sums. Each
   * request is of another conversation. */
  #turns(): readonly string[] {
    return Array.from(
      { length: this.#requestCount % TURNS_MAX },
      (_, i) =>
        createHash("sha1").update(`${this.#name} ${this.#requestCount} ${i}`)
          .digest("hex"),
    );
  }
}

/** The number of whole events in a body. */
function eventCountOf(body: string): number {
  return body.split("\n\n").length - 1;
}
