/** Sends the same request repeatedly to every instance, on one keep-alive
 * connection each.
 *
 * @module
 */
import {
  KeepAliveConnection,
  type TimedRequest,
  type TimedResponse,
} from "./keep_alive_connection.ts";
import type { World } from "./world.ts";

/** The response of one instance to one request. */
export interface Probe {
  readonly instance: number;
  readonly answer: TimedResponse;
}

/** Options of a `Prober`. */
export interface ProberOptions {
  /** Pause after each response. */
  readonly pause_ms: number;
  readonly request: TimedRequest;
  /** Indexes of the instances to probe. Default: all. */
  readonly instances?: readonly number[];
}

/** Probes instances until it is stopped. Each instance gets its next request
 * only after it has answered the previous one. */
export class Prober {
  readonly #world: World;
  readonly #options: ProberOptions;
  readonly #probes: Probe[] = [];
  readonly #tasks: readonly Promise<void>[];
  #is_stopped = false;

  constructor(world: World, options: ProberOptions) {
    this.#world = world;
    this.#options = options;
    const all_instances = world.cluster.instances.map((_, i) => i);
    const instances = options.instances ?? all_instances;
    this.#tasks = instances.map((index) => this.#probe(index));
  }

  /** Probes so far, in the order in which their responses ended. */
  get probes(): readonly Probe[] {
    return this.#probes;
  }

  /** Stops probing and waits for the requests in flight. */
  async stop(): Promise<readonly Probe[]> {
    this.#is_stopped = true;
    await Promise.all(this.#tasks);
    return this.#probes;
  }

  async #probe(instance: number): Promise<void> {
    const connection = new KeepAliveConnection(this.#world, instance);
    while (!this.#is_stopped) {
      const answer = await connection.send(this.#options.request);
      this.#probes.push({ instance, answer });
      await this.#world.sleep(this.#options.pause_ms);
    }
    await connection.close();
  }
}
