/** This instance's view of every engine: list entry, held adapters, load and
 * health. The owner of an engine, the instance that sends orders to it, reports
 * the held adapters.
 *
 * @module
 */
import { EngineHealth } from "./engine_health.ts";
import { EnginePath } from "./engine_path.ts";
import { adapterKey, type Engine } from "./types.ts";

/** An adapter on an engine, in this instance's view. */
export interface AdapterState {
  readonly version: number;
  /** When the adapter can serve, by this instance's monotonic clock. */
  readonly readyAt: number;
}

/** Held adapters of one engine, by their name within the model. */
export type AdapterStates = ReadonlyMap<string, AdapterState>;

/** This instance's view of one engine. */
export class EngineView {
  engine: Engine;
  /** When the engine joined the list, by the monotonic clock; `-Infinity` if it
   * was in the first one that was received. */
  readonly listedAt: number;
  adapters: AdapterStates;
  /** Whether the engine's owner has reported the held adapters. */
  isReportedByOwner = false;
  /** Whether the engine's owner gets no response from the engine. */
  down = false;
  /** When the engine was first seen to be leaving, by the monotonic clock. */
  leavingSince: number | undefined;
  /** Whether the list shows the engine as leaving. */
  #isListedLeaving: boolean;
  /** When a response first said that the engine is leaving. */
  #saidLeavingAt: number | undefined;
  inFlight = 0;
  readonly health = new EngineHealth();
  readonly path = new EnginePath();
  #othersLoad = 0;
  #othersCountedAt = -Infinity;
  #othersLoadValidUntil = -Infinity;

  constructor(engine: Engine, listedAt = -Infinity) {
    this.engine = engine;
    this.listedAt = listedAt;
    this.#isListedLeaving = engine.leaving;
    // The engine may have been leaving for long and may stop at any time.
    if (engine.leaving) this.leavingSince = -Infinity;
    this.adapters = listedAdapters(engine);
  }

  /** Replaces the engine's list entry. Adapters that the engine's owner
   * reported are kept, because they are newer than the entry. */
  updateEntry(engine: Engine, now: number): void {
    if (engine.leaving) this.leavingSince ??= now;
    this.#isListedLeaving = engine.leaving;
    this.engine = this.#saidLeavingAt === undefined
      ? engine
      : { ...engine, leaving: true };
    if (!this.isReportedByOwner) this.adapters = listedAdapters(engine);
  }

  /** Records whether the engine said that it is leaving, in the response to a
   * request that was sent at `sentAt`. The list may show it later, or never.
   * Returns whether that is news. */
  recordLeaving(isLeaving: boolean, sentAt: number, now: number): boolean {
    if (isLeaving) {
      if (this.#saidLeavingAt !== undefined) return false;
      this.#saidLeavingAt = now;
      if (this.engine.leaving) return false;
      this.leavingSince ??= now;
      this.engine = { ...this.engine, leaving: true };
      return true;
    }
    // An answer may have been under way when the engine began to leave.
    if (this.#saidLeavingAt === undefined || sentAt <= this.#saidLeavingAt) {
      return false;
    }
    this.#saidLeavingAt = undefined;
    if (this.#isListedLeaving) return false;
    this.leavingSince = undefined;
    this.engine = { ...this.engine, leaving: false };
    return true;
  }

  /** Sets the number of requests at the engine of all other instances, which was
   * counted at `countedAt`. It expires at `validUntil`, because the requests of a
   * lost instance end with it. */
  setOthersLoad(
    count: number,
    times: { readonly countedAt: number; readonly validUntil: number },
  ): void {
    this.#othersLoad = count;
    this.#othersCountedAt = times.countedAt;
    this.#othersLoadValidUntil = times.validUntil;
  }

  /** Number of requests of all other instances, as they were last counted. */
  othersLoad(now: number): number {
    return now > this.#othersLoadValidUntil ? 0 : this.#othersLoad;
  }

  /** Time since the others' requests were counted, in milliseconds; `Infinity` if
   * nothing is known of them. */
  othersAgeMs(now: number): number {
    return now > this.#othersLoadValidUntil
      ? Infinity
      : Math.max(0, now - this.#othersCountedAt);
  }

  /** Number of requests at the engine, of all instances. */
  load(now: number): number {
    return this.inFlight + this.othersLoad(now);
  }

  /** Whether the engine holds the base model. */
  holdsModel(model: string): boolean {
    return this.engine.models.some((m) => m.name === model);
  }
}

/** The adapters in an entry, by either name that they may have: it does not say how
 * many models the service has. */
function listedAdapters(engine: Engine): AdapterStates {
  return new Map(
    engine.models.flatMap((m) =>
      m.adapters.flatMap((a): readonly [string, AdapterState][] => {
        const state = { version: a.version, readyAt: 0 };
        return [[a.name, state], [adapterKey(m.name, a.name), state]];
      })
    ),
  );
}

/** All engines, by key. */
export class EngineTable {
  readonly #views = new Map<string, EngineView>();
  #byService: ReadonlyMap<string, readonly EngineView[]> = new Map();
  #generation = 0;
  #setGeneration = 0;

  /** Increases each time an engine joins or leaves the list. */
  get setGeneration(): number {
    return this.#setGeneration;
  }

  /** Increases each time the engine list is replaced. */
  get generation(): number {
    return this.#generation;
  }

  /** Replaces the engine list. Returns the views of engines that were
   * removed. */
  setEngines(engines: readonly Engine[], now = 0): readonly EngineView[] {
    const seen = new Set<string>();
    const sizeBefore = this.#views.size;
    const listedAt = sizeBefore === 0 ? -Infinity : now;
    for (const engine of engines) {
      seen.add(engine.key);
      const view = this.#views.get(engine.key);
      if (view === undefined) {
        this.#views.set(engine.key, new EngineView(engine, listedAt));
      } else {
        view.updateEntry(engine, now);
      }
    }
    const removed = [...this.#views.values()].filter((v) =>
      !seen.has(v.engine.key)
    );
    const hasJoined = this.#views.size > sizeBefore;
    if (hasJoined || removed.length > 0) this.#setGeneration += 1;
    for (const view of removed) this.#views.delete(view.engine.key);
    const byService = new Map<string, EngineView[]>();
    for (const view of this.#views.values()) {
      const list = byService.get(view.engine.service);
      if (list === undefined) byService.set(view.engine.service, [view]);
      else list.push(view);
    }
    this.#byService = byService;
    this.#generation += 1;
    return removed;
  }

  /** The engine with this key. */
  get(key: string): EngineView | undefined {
    return this.#views.get(key);
  }

  /** Every engine. */
  all(): Iterable<EngineView> {
    return this.#views.values();
  }

  /** The engines of a service. */
  ofService(service: string): readonly EngineView[] {
    return this.#byService.get(service) ?? [];
  }
}
