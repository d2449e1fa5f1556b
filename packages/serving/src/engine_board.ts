/** What this instance believes of every engine: entries of the list, held
 * adapters as the ordering instances tell them, load and health.
 *
 * @module
 */
import { EngineHealth } from "./engine_health.ts";
import type { Engine } from "./types.ts";

/** An adapter at an engine, as believed. */
export interface AdapterState {
  readonly version: number;
  /** When it can serve, by this instance's steady clock. */
  readonly readyAt: number;
}

/** Held adapters of one engine, by their name within the model. */
export type AdapterStates = ReadonlyMap<string, AdapterState>;

interface PeerLoad {
  readonly count: number;
  readonly validUntil: number;
}

/** One engine as this instance believes it to be. */
export class EngineView {
  engine: Engine;
  adapters: AdapterStates;
  /** Whether the instance that orders there has told what is held. */
  isReportedByOwner = false;
  /** The instance that orders there gets no answer from it. */
  down = false;
  /** When the engine was first seen to leave, by the steady clock. */
  leavingSince: number | undefined;
  inFlight = 0;
  readonly health = new EngineHealth();
  readonly #peerLoads = new Map<string, PeerLoad>();

  constructor(engine: Engine) {
    this.engine = engine;
    // What it did before it was first seen is not known: it may be about to go.
    if (engine.leaving) this.leavingSince = -Infinity;
    this.adapters = listedAdapters(engine);
  }

  /** Takes a newer entry of the list. What the ordering instance tells of the
   * adapters is newer than the entry. */
  updateEntry(engine: Engine, now: number): void {
    if (engine.leaving) this.leavingSince ??= now;
    this.engine = engine;
    if (!this.isReportedByOwner) this.adapters = listedAdapters(engine);
  }

  /** A peer tells how many requests at the engine it answers for: its own, or
   * those of all others if it orders there. Counts until `until`, since a lost
   * instance's requests end with it. */
  setPeerLoad(peer: string, count: number, validUntil: number): void {
    if (count === 0) this.#peerLoads.delete(peer);
    else this.#peerLoads.set(peer, { count, validUntil });
  }

  /** Requests at the engine, of all instances. */
  load(now: number): number {
    let load = this.inFlight;
    for (const [peer, { count, validUntil }] of this.#peerLoads) {
      if (now > validUntil) this.#peerLoads.delete(peer);
      else load += count;
    }
    return load;
  }

  /** Requests at the engine of all instances but this peer. */
  loadExcluding(peer: string, now: number): number {
    return this.load(now) - (this.#peerLoads.get(peer)?.count ?? 0);
  }

  /** Whether the model itself is there. */
  holdsModel(model: string): boolean {
    return this.engine.models.some((m) => m.name === model);
  }
}

function listedAdapters(engine: Engine): AdapterStates {
  return new Map(
    engine.models.flatMap((m) =>
      m.adapters.map((a) => [a.name, { version: a.version, readyAt: 0 }])
    ),
  );
}

/** All engines by key. */
export class EngineTable {
  readonly #views = new Map<string, EngineView>();
  #byService: ReadonlyMap<string, readonly EngineView[]> = new Map();
  #generation = 0;

  /** Grows whenever an engine comes, goes or changes its state. */
  get generation(): number {
    return this.#generation;
  }

  /** Puts a new list in force. Returns the views that are gone. */
  setEngines(engines: readonly Engine[], now = 0): readonly EngineView[] {
    const seen = new Set<string>();
    for (const engine of engines) {
      seen.add(engine.key);
      const view = this.#views.get(engine.key);
      if (view === undefined) {
        this.#views.set(engine.key, new EngineView(engine));
      } else {
        view.updateEntry(engine, now);
      }
    }
    const removed = [...this.#views.values()].filter((v) =>
      !seen.has(v.engine.key)
    );
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
