/** Completions sent at random times for as long as a cell needs them.
 *
 * @module
 */
import {
  type CompletionPlan,
  type CompletionView,
  sendCompletion,
} from "./completions.ts";
import type { World } from "./world.ts";

/** How much traffic there is. */
export interface TrafficOptions {
  /** Completions a second. */
  readonly completions_per_s: number;
  /** Completions under way at once; more are not sent. */
  readonly at_once: number;
  readonly random: () => number;
  /** Chooses the next completion. */
  readonly next: (number: number) => CompletionPlan;
}

const MS_PER_S = 1_000;

/** An open loop of completions: it does not wait for answers. */
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

  /** Completions that have ended. */
  get views(): readonly CompletionView[] {
    return this.#views;
  }

  /** Sends no more, and waits for every answer. */
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
