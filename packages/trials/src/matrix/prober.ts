/** The same question asked again and again on a kept connection to every
 * instance.
 *
 * @module
 */
import {
  KeepAliveConnection,
  type TimedRequest,
  type TimedResponse,
} from "./kept_connection.ts";
import type { World } from "./world.ts";

/** One question with its answer. */
export interface Probe {
  readonly instance: number;
  readonly answer: TimedResponse;
}

/** How often, and what is asked. */
export interface ProberOptions {
  readonly pause_ms: number;
  readonly request: TimedRequest;
  /** Instances asked; default: all. */
  readonly instances?: readonly number[];
}

/** Asks until it is stopped. A question waits for the answer before it. */
export class Prober {
  readonly #world: World;
  readonly #options: ProberOptions;
  readonly #probes: Probe[] = [];
  readonly #tasks: readonly Promise<void>[];
  #is_stopped = false;

  constructor(world: World, options: ProberOptions) {
    this.#world = world;
    this.#options = options;
    const all = world.cluster.instances.map((_, i) => i);
    const instances = options.instances ?? all;
    this.#tasks = instances.map((index) => this.#probe(index));
  }

  /** Answers so far, in the order in which they ended. */
  get probes(): readonly Probe[] {
    return this.#probes;
  }

  /** Asks no more, and waits for the last answers. */
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
