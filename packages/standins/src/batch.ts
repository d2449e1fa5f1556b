/** Continuous batching: each step generates one token for every request that
 * runs and whose prompt is read.
 *
 * @module
 */
import { monotonicMs } from "./timestamp.ts";

/** Times of steps and prompts. */
export interface BatchOptions {
  /** Requests that run at once. */
  readonly max_running: number;
  /** Time of a step with nothing in it. */
  readonly step_ms: number;
  /** Time that each running request adds to a step. */
  readonly step_ms_per_request: number;
  /** Time that each distinct adapter of the batch adds to a step. */
  readonly step_ms_per_adapter: number;
  /** Time to read one prompt token that is not cached. */
  readonly prefill_ms_per_token: number;
}

/** A request as the batch sees it. */
export interface BatchEntry {
  readonly version: string;
  readonly priority: "interactive" | "batch";
  /** Prompt tokens that are not cached, asked when the request is admitted. */
  readonly admit: () => number;
  /** Takes one token. `false`: the request is done. */
  readonly step: () => boolean;
}

/** Sums over all steps; divided by `steps` they are the means. */
export interface BatchTotals {
  readonly steps: number;
  readonly step_requests: number;
  readonly step_adapters: number;
}

interface RunningRequest {
  readonly entry: BatchEntry;
  readonly prefilled_at_ms: number;
}

/** Steps that are late by more than this are not caught up. */
const MAX_LATENESS_MS = 200;

/** Runs requests, interactive ones first, each class in order of arrival. */
export class Batch {
  readonly #options: BatchOptions;
  #queue: readonly BatchEntry[] = [];
  #running: readonly RunningRequest[] = [];
  #timer: NodeJS.Timeout | undefined;
  #next_step_at_ms = 0;
  #extra_step_ms = 0;
  #is_paused = false;
  #totals: BatchTotals = { steps: 0, step_requests: 0, step_adapters: 0 };

  constructor(options: BatchOptions) {
    this.#options = options;
  }

  /** Requests that wait for a place. */
  get waiting(): number {
    return this.#queue.length;
  }

  /** Versions of the running requests, one for each request. */
  get running(): readonly string[] {
    return this.#running.map(({ entry }) => entry.version);
  }

  /** Sums over all steps so far. */
  get totals(): BatchTotals {
    return this.#totals;
  }

  /** Time that a step takes now. */
  get stepMs(): number {
    const options = this.#options;
    const adapters = new Set(this.running).size;
    return options.step_ms + this.#extra_step_ms +
      options.step_ms_per_request * this.#running.length +
      options.step_ms_per_adapter * adapters;
  }

  /** Adds time to each step. */
  setExtraStepMs(ms: number): void {
    this.#extra_step_ms = ms;
  }

  /** Stops or continues stepping. */
  setPaused(paused: boolean): void {
    this.#is_paused = paused;
    this.#scheduleStep();
  }

  /** Queues a request. Yields its cancellation. */
  add(entry: BatchEntry): () => void {
    this.#queue = [...this.#queue, entry];
    this.#scheduleStep();
    return () => this.#removeEntry(entry);
  }

  /** Drops everything. */
  clear(): void {
    this.#queue = [];
    this.#running = [];
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  #removeEntry(entry: BatchEntry): void {
    this.#queue = this.#queue.filter((waiting) => waiting !== entry);
    this.#running = this.#running.filter((request) => request.entry !== entry);
  }

  #scheduleStep(): void {
    if (this.#timer !== undefined || this.#is_paused) return;
    this.#admitRequests();
    if (this.#running.length === 0) return;
    const now_ms = monotonicMs();
    const step_start_ms = Math.max(
      this.#next_step_at_ms,
      now_ms - MAX_LATENESS_MS,
    );
    this.#next_step_at_ms = Math.max(step_start_ms + this.stepMs, now_ms);
    const wait_ms = this.#next_step_at_ms - now_ms;
    this.#timer = setTimeout(() => this.#step(), wait_ms);
  }

  #admitRequests(): void {
    while (this.#running.length < this.#options.max_running) {
      const next = this.#queue.find((e) => e.priority === "interactive") ??
        this.#queue[0];
      if (next === undefined) return;
      this.#queue = this.#queue.filter((entry) => entry !== next);
      const prefill_ms = next.admit() * this.#options.prefill_ms_per_token;
      const request = {
        entry: next,
        prefilled_at_ms: monotonicMs() + prefill_ms,
      };
      this.#running = [...this.#running, request];
    }
  }

  #step(): void {
    this.#timer = undefined;
    this.#addToTotals();
    const now_ms = monotonicMs();
    for (const request of this.#running) {
      if (request.prefilled_at_ms > now_ms) continue;
      if (!request.entry.step()) this.#removeEntry(request.entry);
    }
    this.#scheduleStep();
  }

  #addToTotals(): void {
    const { steps, step_requests, step_adapters } = this.#totals;
    this.#totals = {
      steps: steps + 1,
      step_requests: step_requests + this.#running.length,
      step_adapters: step_adapters + new Set(this.running).size,
    };
  }
}
