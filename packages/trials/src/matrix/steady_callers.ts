/** Callers that follow steering and retry on another instance what did not
 * run.
 *
 * @module
 */
import { Caller, type CallResult } from "../harness/caller.ts";
import { promptOf, routesOf } from "./completions.ts";
import type { World } from "./world.ts";

/** Options of `SteadyCallers`. */
export interface SteadyCallerOptions {
  readonly workspace: string;
  readonly random: () => number;
}

const CALLER_COUNT = 3;
const CALL_PAUSE_MS = 60;
const MAX_TOKENS = 4;
const TIMEOUT_MS = 20_000;
const STATUS_OK = 200;
const STATUS_ERROR = 400;

/** Several callers, each of which sends short completions one after another. */
export class SteadyCallers {
  readonly #world: World;
  readonly #options: SteadyCallerOptions;
  readonly #caller: Caller;
  readonly #tasks: readonly Promise<void>[];
  readonly #errors: string[] = [];
  #served_count = 0;
  #is_stopped = false;

  constructor(world: World, options: SteadyCallerOptions) {
    this.#world = world;
    this.#options = options;
    this.#caller = new Caller({
      seeds: world.cluster.seeds,
      random: options.random,
      local_address: world.cluster.caller_address,
    });
    this.#tasks = Array.from({ length: CALLER_COUNT }, (_, i) => this.#run(i));
  }

  /** Number of calls that were served with a complete response. */
  get served_count(): number {
    return this.#served_count;
  }

  /** Stops the callers. Returns a description of each call that was cut off. */
  async stop(): Promise<readonly string[]> {
    this.#is_stopped = true;
    await Promise.all(this.#tasks);
    await this.#caller.close();
    return this.#errors;
  }

  async #run(number: number): Promise<void> {
    while (!this.#is_stopped) {
      await this.#callOnce(number);
      await this.#world.sleep(CALL_PAUSE_MS);
    }
  }

  /** Sends one call. Failure to connect to any instance is not recorded, since
   * nothing was sent; any other error counts as a call that was cut off. */
  async #callOnce(number: number): Promise<void> {
    const { workspace } = this.#options;
    const routes = routesOf(this.#world, workspace);
    try {
      const result = await this.#caller.callUntilServed({
        path: "/v1/completions",
        key: this.#world.cluster.keyOf(workspace),
        body: {
          model: routes[number % routes.length]?.route,
          prompt: promptOf(MAX_TOKENS + number),
          max_tokens: MAX_TOKENS,
          stream: number % 2 === 0,
        },
        timeout_ms: TIMEOUT_MS,
      });
      this.#recordResult(result);
    } catch (cause) {
      if (!isConnectError(cause)) this.#errors.push(`a steady call: ${cause}`);
    }
  }

  #recordResult(result: CallResult): void {
    if (result.status === STATUS_OK && result.whole) {
      this.#served_count += 1;
      return;
    }
    if (result.status >= STATUS_ERROR && result.whole) return;
    this.#errors.push(`a steady call via ${result.url} was cut off`);
  }
}

/** True if no connection could be established, so that nothing was sent. */
function isConnectError(cause: unknown): boolean {
  const code = (cause as { readonly code?: unknown }).code;
  return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" ||
    String(cause).includes("no instance answered");
}
