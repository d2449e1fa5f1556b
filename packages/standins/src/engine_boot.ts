/** The state of an engine stand-in that is lost on a restart.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { AdapterSlots, type FetchWeights } from "./adapter_slots.ts";
import { Batch } from "./batch.ts";
import type { EngineJob } from "./engine_job.ts";
import { ENGINE_DEFAULTS, type EngineOptions } from "./engine_options.ts";
import type { RequestOutcome } from "./engine_record.ts";
import { PrefixCache } from "./prefix_cache.ts";

/** Load report of an engine. */
export interface LoadReport {
  readonly loaded: readonly string[];
  readonly running: Readonly<Record<string, number>>;
  readonly waiting: number;
  readonly boot_id: string;
}

/** Adapter slots, prefix cache and requests between two starts of an engine. */
export class EngineBoot {
  readonly boot_id = randomUUID();
  readonly slots: AdapterSlots;
  readonly batch: Batch;
  readonly cache: PrefixCache;
  readonly #jobs = new Set<EngineJob>();

  constructor(options: EngineOptions, fetch: FetchWeights) {
    const slot_count = options.adapter_slots ?? ENGINE_DEFAULTS.adapter_slots;
    this.slots = new AdapterSlots(slot_count, fetch);
    this.batch = new Batch({ ...ENGINE_DEFAULTS.batch, ...options.batch });
    this.cache = new PrefixCache({
      ...ENGINE_DEFAULTS.cache,
      ...options.cache,
    });
  }

  addJob(job: EngineJob): void {
    this.#jobs.add(job);
  }

  removeJob(job: EngineJob): void {
    this.#jobs.delete(job);
  }

  /** Returns the requests of a version that run or wait. */
  jobsOf(version: string): readonly EngineJob[] {
    return [...this.#jobs].filter((job) => job.version === version);
  }

  /** Ends all requests with the given outcome. */
  finishAll(outcome: RequestOutcome): void {
    for (const job of [...this.#jobs]) job.finish(outcome);
    this.batch.clear();
  }

  /** Returns the current load. */
  report(): LoadReport {
    const running: Record<string, number> = {};
    for (const version of this.batch.running) {
      running[version] = (running[version] ?? 0) + 1;
    }
    return {
      loaded: this.slots.loaded,
      running,
      waiting: this.batch.waiting,
      boot_id: this.boot_id,
    };
  }
}
