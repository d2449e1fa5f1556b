/** Background completions sent at random times while a cell runs.
 *
 * @module
 */
import {
  type CompletionPlan,
  type CompletionView,
  sendCompletion,
} from "./completions.ts";
import type { World } from "./world.ts";

/** Options of `Traffic`. */
export interface TrafficOptions {
  /** Mean rate of completions per second. */
  readonly completions_per_s: number;
  /** Limit of completions in flight; a completion above it is skipped. */
  readonly at_once: number;
  readonly random: () => number;
  /** Plans the completion of this sequence number. */
  readonly next: (number: number) => CompletionPlan;
}

const MS_PER_S = 1_000;

/** Sends completions in an open loop, with exponentially distributed pauses:
 * a slow response does not delay the next request. */
export class Traffic {
  readonly #world: World;
  readonly #options: TrafficOptions;
  readonly #running = new Set<Promise<void>>();
  readonly #views: CompletionView[] = [];
  #timer: NodeJS.Timeout | undefined;
  #number = 0;

  constructor(world: World, options: TrafficOptions) {
    this.#world = world;
    this.#options = options;
    this.#schedule();
  }

  /** Completions that have ended so far. */
  get views(): readonly CompletionView[] {
    return this.#views;
  }

  /** Stops sending and waits for all completions in flight. */
  async stop(): Promise<readonly CompletionView[]> {
    clearTimeout(this.#timer);
    await Promise.all(this.#running);
    return this.#views;
  }

  #schedule(): void {
    const { completions_per_s: per_s, random } = this.#options;
    const wait_ms = -Math.log(1 - random()) * MS_PER_S / per_s;
    this.#timer = setTimeout(() => {
      this.#send();
      this.#schedule();
    }, wait_ms);
  }

  #send(): void {
    const plan = this.#options.next(this.#number++);
    if (this.#running.size >= this.#options.at_once) return;
    const task = sendCompletion(this.#world, plan).then((view) => {
      this.#views.push(view);
      this.#running.delete(task);
    });
    this.#running.add(task);
  }
}
