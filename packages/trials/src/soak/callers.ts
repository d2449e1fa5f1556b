/** Callers of a soak: they ask for addresses, connect, and keep connections.
 *
 * @module
 */
import { Agent, request } from "node:http";
import {
  requestHeaders,
  resolveAddresses,
  TRIAL_HOST,
} from "@banyanlb/platform/stand_in";
import type { Attempt, RequestKind } from "./judge.ts";

/** How long callers keep addresses, in milliseconds. */
const KEEP_MS = 1000;

/** Time that a request has, and when its caller gives up. */
const DEADLINE_MS = 3000;
const GIVE_UP_MS = 5000;

/** Pause between two requests of one caller, in milliseconds. */
const PAUSE_MS = 20;

/** An address that failed is left out for this long, in milliseconds. */
const AVOID_MS = 1000;

/** What callers need. */
export interface CallerOptions {
  readonly random: () => number;
  /** Addresses of instances that may be asked, and the callers' zones. */
  readonly instances: readonly string[];
  readonly zones: Readonly<Record<string, string>>;
  readonly model: string;
  readonly adapters: number;
  /** Workspace and key to use next. */
  readonly pickKey: () => readonly [workspace: string, key: string];
  /** Whether a key was in force all the time since. */
  readonly keyHeld: (key: string, since: number) => boolean;
}

/** One caller, with connections of its own. */
export class SoakCaller {
  readonly #options: CallerOptions;
  readonly #attempts: Attempt[] = [];
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 20 });
  readonly #avoid = new Map<string, number>();
  readonly #name: string;
  readonly #zone: string;
  #addresses: readonly string[] = [];
  #resolvedAt = -Infinity;
  #count = 0;
  #closed = false;

  constructor(name: string, options: CallerOptions) {
    this.#name = name;
    this.#options = options;
    const zones = Object.keys(options.zones);
    this.#zone = zones[Math.floor(options.random() * zones.length)] ?? "";
  }

  /** What it tried. */
  get attempts(): readonly Attempt[] {
    return this.#attempts;
  }

  /** Sends one request after another until closed. */
  async run(): Promise<void> {
    while (!this.#closed) {
      await this.#resolve();
      const now = performance.now();
      const usable = this.#addresses.filter((a) =>
        now - (this.#avoid.get(a) ?? -Infinity) > AVOID_MS
      );
      const address = this.#pick(usable.length > 0 ? usable : this.#addresses);
      if (address !== undefined) await this.#send(address);
      await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
    }
    this.#agent.destroy();
  }

  /** Ends it after the request under way. */
  close(): void {
    this.#closed = true;
  }

  #pick<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.#options.random() * items.length)];
  }

  async #resolve(): Promise<void> {
    if (performance.now() - this.#resolvedAt < KEEP_MS) return;
    const host = this.#pick(this.#options.instances) ?? "";
    const found = await resolveAddresses(host, {
      zone: this.#zone,
      region: this.#options.zones[this.#zone] ?? "",
    });
    if (found.length === 0) return;
    this.#addresses = found;
    this.#resolvedAt = performance.now();
  }

  async #send(address: string): Promise<void> {
    const { random, pickKey, keyHeld, model, adapters } = this.#options;
    const kinds: readonly RequestKind[] = ["stream", "stream", "once", "read"];
    const kind = this.#pick(kinds) ?? "read";
    const [workspace, key] = pickKey();
    this.#count += 1;
    // Few adapters are asked for often, many seldom.
    const adapter = `${model}/a${Math.floor(random() ** 3 * adapters)}`;
    const base = {
      id: `${this.#name}-${this.#count}`,
      kind,
      workspace,
      model: kind === "stream" ? adapter : undefined,
      sentAt: Date.now(),
    };
    const answer = await this.#call(address, { ...base, key });
    if (answer.status === 0) this.#avoid.set(address, performance.now());
    this.#attempts.push({
      ...base,
      ...answer,
      endedAt: Date.now(),
      keyHeld: keyHeld(key, base.sentAt),
    });
  }

  #call(
    address: string,
    req: {
      readonly id: string;
      readonly kind: RequestKind;
      readonly model: string | undefined;
      readonly key: string;
    },
  ): Promise<
    Pick<Attempt, "status" | "answerId" | "body" | "complete">
  > {
    const [host, port] = address.split(":");
    return new Promise((resolve) => {
      let status = 0;
      let answerId: string | undefined;
      let body = "";
      const done = (complete: boolean) => {
        clearTimeout(timer);
        resolve({ status, answerId, body, complete });
      };
      const call = request({
        agent: this.#agent,
        host,
        port: Number(port),
        method: req.kind === "read" ? "GET" : "POST",
        path: `/${req.kind}/${req.id}`,
        setHost: false,
        headers: requestHeaders({
          id: req.id,
          key: req.key,
          deadlineMs: DEADLINE_MS,
          ...(req.model === undefined ? {} : { model: req.model }),
        }),
      });
      const timer = setTimeout(() => call.destroy(), GIVE_UP_MS);
      call.on("error", () => done(false));
      call.on("response", (res) => {
        status = res.statusCode ?? 0;
        answerId = res.headers["request-id"]?.toString();
        res.setEncoding("utf8");
        res.on("data", (text: string) => (body += text));
        res.on("error", () => done(false));
        res.on("end", () => done(res.complete));
      });
      call.end(req.kind === "read" ? undefined : `${TRIAL_HOST} ${req.id}`);
    });
  }
}
