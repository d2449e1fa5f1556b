/** Continuous batching: each step generates one token for every running request
 * whose prompt has been processed.
 *
 * @module
 */
import { monotonicMs } from "./timestamp.ts";

/** Batch size, step time and prefill time. */
export interface BatchOptions {
  /** Maximum number of requests that run concurrently. */
  readonly max_running: number;
  /** Base time of a step, without any request. */
  readonly step_ms: number;
  /** Time that each running request adds to a step. */
  readonly step_ms_per_request: number;
  /** Time that each distinct adapter in the batch adds to a step. */
  readonly step_ms_per_adapter: number;
  /** Time to process one prompt token that is not in the prefix cache. */
  readonly prefill_ms_per_token: number;
}

/** A request in the batch. */
export interface BatchEntry {
  readonly version: string;
  readonly priority: "interactive" | "batch";
  /** Called when the request is admitted. Returns the number of prompt tokens
   * that are not in the prefix cache. */
  readonly admit: () => number;
  /** Generates one token. Returns `false` when the request has finished. */
  readonly step: () => boolean;
}

/** Sums over all steps; divide by `steps` for the mean per step. */
export interface BatchTotals {
  readonly steps: number;
  readonly step_requests: number;
  readonly step_adapters: number;
}

interface RunningRequest {
  readonly entry: BatchEntry;
  readonly prefilled_at_ms: number;
}

/** Steps that start late are caught up by later steps, up to this delay; the rest
 * of a longer delay is not made up for. */
const MAX_LATENESS_MS = 200;

/** Admits and runs requests: interactive ones first, and in order of arrival
 * within each priority. */
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

  /** Number of requests that wait to be admitted. */
  get waiting(): number {
    return this.#queue.length;
  }

  /** Versions of the running requests, one entry per request. */
  get running(): readonly string[] {
    return this.#running.map(({ entry }) => entry.version);
  }

  /** Sums over all steps so far. */
  get totals(): BatchTotals {
    return this.#totals;
  }

  /** Time of a step with the requests that run now. */
  get stepMs(): number {
    const options = this.#options;
    const adapters = new Set(this.running).size;
    return options.step_ms + this.#extra_step_ms +
      options.step_ms_per_request * this.#running.length +
      options.step_ms_per_adapter * adapters;
  }

  /** Sets the extra time that is added to each step. */
  setExtraStepMs(ms: number): void {
    this.#extra_step_ms = ms;
  }

  /** Pauses or resumes the steps. */
  setPaused(paused: boolean): void {
    this.#is_paused = paused;
    this.#scheduleStep();
  }

  /** Queues a request. Returns a function that cancels it. */
  add(entry: BatchEntry): () => void {
    this.#queue = [...this.#queue, entry];
    this.#scheduleStep();
    return () => this.#removeEntry(entry);
  }

  /** Removes all requests and stops the step timer. */
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
