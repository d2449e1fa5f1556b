/** Simulates the requests of a run as served by one queue with full knowledge
 * of later arrivals. The result is the reference for batch efficiency.
 *
 * The simulation has no delay between queue and engines. It keeps each adapter
 * on one engine unless that engine is full. Adapter slots, concurrent requests
 * per engine, step times and the weight store's limits are those of the run:
 *
 * - a request goes to an engine that has loaded its adapter and has capacity;
 *   among several, to the one whose step time it increases least;
 * - an adapter that no engine has loaded replaces the idle adapter, of all
 *   engines, whose next request is furthest in the future;
 * - interactive requests are served before batch requests, each class in order
 *   of arrival.
 *
 * Batch efficiency is the tokens per step time of the run's engines divided by
 * the tokens per step time of this simulation. Step time is the sum of the
 * nominal durations of all steps, so that load on the machine does not change
 * it.
 *
 * @module
 */
import type { BatchOptions, WeightsLimits } from "@banyanlb/standins";
import { EventQueue } from "./event_queue.ts";

/** One request of the simulation. */
export interface ReferenceRequest {
  readonly at_ms: number;
  readonly version: string;
  readonly class: "interactive" | "batch";
  readonly prompt_tokens: number;
  readonly output_tokens: number;
}

/** The simulated engines and the limits of the weight store. */
export interface ReferenceFleet {
  readonly engines: number;
  readonly adapter_slots: number;
  readonly batch: BatchOptions;
  readonly limits: WeightsLimits;
}

/** Generated tokens and the step time spent on them. */
export interface StepSums {
  readonly tokens: number;
  readonly step_ms: number;
}

/** Nominal duration of all steps, in milliseconds, from their totals. */
export function nominalStepMs(
  totals: {
    readonly steps: number;
    readonly step_requests: number;
    readonly step_adapters: number;
  },
  batch: BatchOptions,
): number {
  return totals.steps * batch.step_ms +
    totals.step_requests * batch.step_ms_per_request +
    totals.step_adapters * batch.step_ms_per_adapter;
}

interface RunningRequest {
  readonly version: string;
  readonly ready_ms: number;
  left: number;
}

interface SimulatedEngine {
  /** Time in milliseconds at which each version has finished loading. */
  readonly loaded: Map<string, number>;
  running: RunningRequest[];
  is_stepping: boolean;
}

const MS_PER_S = 1_000;

class SingleQueueSimulation {
  readonly #fleet: ReferenceFleet;
  readonly #requests: readonly ReferenceRequest[];
  readonly #engines: readonly SimulatedEngine[];
  readonly #events = new EventQueue<() => void>();
  readonly #use_times = new Map<string, number[]>();
  #waiting: ReferenceRequest[] = [];
  #now_ms = 0;
  #next_load_ms = 0;
  #tokens = 0;
  #step_ms = 0;

  constructor(requests: readonly ReferenceRequest[], fleet: ReferenceFleet) {
    this.#fleet = fleet;
    this.#requests = requests;
    this.#engines = Array.from({ length: fleet.engines }, () => ({
      loaded: new Map<string, number>(),
      running: [],
      is_stepping: false,
    }));
    for (const { version, at_ms } of requests) {
      const times = this.#use_times.get(version) ?? [];
      times.push(at_ms);
      this.#use_times.set(version, times);
    }
  }

  run(): StepSums {
    for (const request of this.#requests) {
      this.#events.add(request.at_ms, () => {
        this.#waiting.push(request);
        this.#startWaiting();
      });
    }
    for (;;) {
      const event = this.#events.next();
      if (event === undefined) break;
      this.#now_ms = event.at_ms;
      event.value();
    }
    return { tokens: this.#tokens, step_ms: this.#step_ms };
  }

  #startWaiting(): void {
    const ordered = [
      ...this.#waiting.filter((request) => request.class === "interactive"),
      ...this.#waiting.filter((request) => request.class === "batch"),
    ];
    this.#waiting = ordered.filter((request) => !this.#tryStart(request));
    for (const engine of this.#engines) this.#startStep(engine);
  }

  #tryStart(request: ReferenceRequest): boolean {
    const { version } = request;
    const holders = this.#engines.filter((engine) =>
      engine.loaded.has(version)
    );
    const candidates = holders.filter((engine) =>
      engine.loaded.get(version)! <= this.#now_ms && this.#hasCapacity(engine)
    );
    const best = findCheapest(
      candidates,
      (engine) => this.#addedStepMs(engine, version),
    );
    if (best !== undefined) {
      this.#admit(best, request);
      return true;
    }
    const is_loading = holders.some((engine) =>
      engine.loaded.get(version)! > this.#now_ms
    );
    if (!is_loading) this.#load(version, holders);
    return false;
  }

  #hasCapacity(engine: SimulatedEngine): boolean {
    return engine.running.length < this.#fleet.batch.max_running;
  }

  /** Milliseconds that a request for `version` adds to the engine's steps. */
  #addedStepMs(engine: SimulatedEngine, version: string): number {
    const { batch } = this.#fleet;
    const is_idle = engine.running.length === 0;
    const is_in_step = engine.running.some((run) => run.version === version);
    return (is_idle ? batch.step_ms : 0) +
      (is_in_step ? 0 : batch.step_ms_per_adapter);
  }

  #admit(engine: SimulatedEngine, request: ReferenceRequest): void {
    const { batch } = this.#fleet;
    const prefill_ms = request.prompt_tokens * batch.prefill_ms_per_token;
    engine.running.push({
      version: request.version,
      ready_ms: this.#now_ms + prefill_ms,
      left: request.output_tokens,
    });
  }

  #startStep(engine: SimulatedEngine): void {
    if (engine.is_stepping || engine.running.length === 0) return;
    engine.is_stepping = true;
    const { batch } = this.#fleet;
    // A request that arrives during a step joins the next step.
    const batch_requests = new Set(engine.running);
    const adapters = new Set(engine.running.map((run) => run.version)).size;
    const duration_ms = batch.step_ms + adapters * batch.step_ms_per_adapter +
      engine.running.length * batch.step_ms_per_request;
    this.#events.add(this.#now_ms + duration_ms, () => {
      engine.is_stepping = false;
      this.#step_ms += duration_ms;
      this.#generateTokens(engine, batch_requests);
      this.#startWaiting();
    });
  }

  #generateTokens(
    engine: SimulatedEngine,
    batch_requests: ReadonlySet<RunningRequest>,
  ): void {
    for (const run of batch_requests) {
      if (run.ready_ms > this.#now_ms) continue;
      run.left -= 1;
      this.#tokens += 1;
    }
    engine.running = engine.running.filter((run) => run.left > 0);
  }

  #load(version: string, holders: readonly SimulatedEngine[]): void {
    const other_engines = this.#engines.filter((engine) =>
      !holders.includes(engine)
    );
    const engine =
      other_engines.find((candidate) =>
        candidate.loaded.size < this.#fleet.adapter_slots
      ) ?? this.#evict(other_engines);
    if (engine === undefined) return;
    const { limits } = this.#fleet;
    const start = Math.max(this.#now_ms, this.#next_load_ms);
    this.#next_load_ms = start + MS_PER_S / limits.loads_per_s;
    const ready_ms = start + limits.load_ms;
    engine.loaded.set(version, ready_ms);
    this.#events.add(ready_ms, () => this.#startWaiting());
  }

  /** Evicts the idle adapter whose next use is furthest in the future and
   * returns its engine. */
  #evict(engines: readonly SimulatedEngine[]): SimulatedEngine | undefined {
    const idle_adapters = engines.flatMap((engine) =>
      [...engine.loaded]
        .filter(([version, ready_ms]) =>
          ready_ms <= this.#now_ms &&
          !engine.running.some((run) => run.version === version) &&
          !this.#waiting.some((request) => request.version === version)
        )
        .map(([version]) => ({ engine, version }))
    );
    const victim = findCheapest(
      idle_adapters,
      ({ version }) => -this.#nextUseMs(version),
    );
    victim?.engine.loaded.delete(victim.version);
    return victim?.engine;
  }

  #nextUseMs(version: string): number {
    return this.#use_times.get(version)?.find((at_ms) =>
      at_ms > this.#now_ms
    ) ??
      Number.MAX_VALUE;
  }
}

function findCheapest<T>(
  rows: readonly T[],
  cost: (row: T) => number,
): T | undefined {
  let best: T | undefined;
  let best_cost = Infinity;
  for (const row of rows) {
    const row_cost = cost(row);
    if (row_cost >= best_cost) continue;
    best = row;
    best_cost = row_cost;
  }
  return best;
}

/** Simulates serving `requests`, sorted by `at_ms`, from a single queue.
 *
 * @example
 * ```ts
 * const { tokens, step_ms } = simulateSingleQueue(requests, fleet);
 * ```
 */
export function simulateSingleQueue(
  requests: readonly ReferenceRequest[],
  fleet: ReferenceFleet,
): StepSums {
  return new SingleQueueSimulation(requests, fleet).run();
}
