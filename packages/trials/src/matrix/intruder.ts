/** A caller that requests what belongs to another workspace, with its own key
 * or without a key, and that sends keys in unusual headers.
 *
 * @module
 */
import type { PlannedRoute } from "@banyanlb/standins";
import type { CallOptions, CallResult } from "../harness/caller.ts";
import type { World } from "./world.ts";

/** A finished attempt. */
export interface IntruderAttempt {
  readonly description: string;
  readonly result: CallResult | undefined;
}

interface PlannedAttempt extends CallOptions {
  readonly description: string;
  /** True if it may be served. Such attempts also show that the intruder's
   * requests reach the instances at all. */
  readonly is_allowed: boolean;
}

const ATTEMPT_PAUSE_MS = 30;
const TIMEOUT_MS = 15_000;
const STATUS_OK = 200;
const SERVICE_ROUTES = ["confirm", "deposit"] as const;

function completion(model: string) {
  return {
    path: "/v1/completions",
    body: { model, prompt: "intruder", max_tokens: 2 },
  };
}

/** Repeats its attempts at random instances until it is stopped. */
export class Intruder {
  readonly #world: World;
  readonly #random: () => number;
  readonly #finished_attempts: IntruderAttempt[] = [];
  readonly #violations: string[] = [];
  readonly #task: Promise<void>;
  #is_stopped = false;

  constructor(world: World, random: () => number) {
    this.#world = world;
    this.#random = random;
    this.#task = this.#run();
  }

  /** Descriptions of attempts that were served although they are forbidden. */
  get violations(): readonly string[] {
    return this.#violations;
  }

  /** Stops and returns all attempts. */
  async stop(): Promise<readonly IntruderAttempt[]> {
    this.#is_stopped = true;
    await this.#task;
    return this.#finished_attempts;
  }

  async #run(): Promise<void> {
    for (let number = 0; !this.#is_stopped; number++) {
      const attempts = this.#planAttempts(number);
      const attempt = attempts[number % attempts.length];
      if (attempt !== undefined) await this.#sendAttempt(attempt);
      await this.#world.sleep(ATTEMPT_PAUSE_MS);
    }
  }

  async #sendAttempt(
    { description, is_allowed, ...call }: PlannedAttempt,
  ): Promise<void> {
    const { caller, cluster } = this.#world;
    const index = Math.floor(this.#random() * cluster.instances.length);
    const url = this.#world.instance(index).caller_url;
    const result = await caller.call({ ...call, url, timeout_ms: TIMEOUT_MS })
      .catch(() => undefined);
    this.#finished_attempts.push({ description, result });
    if (is_allowed || result?.status !== STATUS_OK) return;
    this.#violations.push(`${description} was served`);
  }

  /** Picks a random route of a workspace other than `own_workspace`. */
  #pickForeignRoute(own_workspace: string): PlannedRoute {
    const foreign_routes = this.#world.cluster.objects.routes
      .filter((route) => route.workspace !== own_workspace);
    const route =
      foreign_routes[Math.floor(this.#random() * foreign_routes.length)];
    if (route === undefined) throw new Error("no foreign route");
    return route;
  }

  #planAttempts(number: number): readonly PlannedAttempt[] {
    const { workspaces } = this.#world.cluster.deployment;
    const own_workspace = workspaces[number % workspaces.length]?.name ?? "";
    const key = this.#world.cluster.keyOf(own_workspace);
    const { route, version, workspace } = this.#pickForeignRoute(own_workspace);
    const service = SERVICE_ROUTES[number % SERVICE_ROUTES.length];
    const path = `/services/${service}/orders`;
    const headers = { "idempotency-key": `intruder-${number}` };
    const service_owner = service === "confirm"
      ? "hanoi-satchels"
      : "saigon-satchels";
    const open_path = "/services/catalogue/list";
    return [
      {
        description: "a foreign route",
        is_allowed: false,
        key,
        ...completion(route),
      },
      {
        description: "a foreign version",
        is_allowed: false,
        key,
        ...completion(version),
      },
      {
        description: "a route without key",
        is_allowed: false,
        ...completion(route),
      },
      {
        description: "a route with a forged workspace",
        is_allowed: false,
        key,
        ...completion(route),
        headers: { "x-workspace": workspace },
      },
      {
        description: "a service without key",
        is_allowed: false,
        path,
        headers,
        body: "{}",
      },
      {
        description: "a foreign service",
        is_allowed: own_workspace === service_owner,
        key,
        path,
        headers,
        body: "{}",
      },
      {
        description: "the open service",
        is_allowed: true,
        path: open_path,
        body: "{}",
      },
      {
        description: "the open service with a key",
        is_allowed: true,
        path: open_path,
        key,
        body: "{}",
        headers: { "x-api-key": key, cookie: `key=${key}` },
      },
    ];
  }
}
