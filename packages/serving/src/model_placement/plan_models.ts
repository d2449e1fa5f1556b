/** Decides which models the engines of a service hold.
 *
 * What is held is kept. An engine that holds nothing gets the model that lacks
 * most, and a model that is asked for and held nowhere gets an engine, beside what
 * that engine holds or in place of a model that others hold, too. All instances
 * that know the same of the engines plan alike.
 *
 * @module
 */
import { hashToUnitInterval } from "@banyanlb/core";
import type { EngineClass } from "../types.ts";

/** An engine on which models are placed. */
export interface PlacedEngine {
  readonly key: string;
  /** The models that it holds or is loading. */
  readonly models: readonly string[];
  /** Memory that its adapters take, in MB. */
  readonly adapterMb: number;
  /** Number of requests at it. */
  readonly load: number;
  /** Whether it replies. */
  readonly isUp: boolean;
}

/** An order that changes what an engine holds. */
export interface ModelOrder {
  readonly action: "load" | "unload";
  readonly model: string;
}

/** The plan while it is being made. */
class Placement {
  readonly #engineClass: EngineClass;
  readonly #holders = new Map<string, number>();
  readonly #upHolders = new Map<string, number>();
  readonly #loads = new Map<string, number>();

  constructor(engines: readonly PlacedEngine[], engineClass: EngineClass) {
    this.#engineClass = engineClass;
    for (const { models, load, isUp } of engines) {
      for (const model of models) {
        add(this.#holders, model, 1);
        if (isUp) add(this.#upHolders, model, 1);
        add(this.#loads, model, load / models.length);
      }
    }
  }

  holders(model: string): number {
    return this.#holders.get(model) ?? 0;
  }

  /** Whether an engine that replies may drop a model: another one that replies
   * holds it, or the service does not have it. */
  isDispensable(model: string): boolean {
    return !this.#isListed(model) || (this.#upHolders.get(model) ?? 0) > 1;
  }

  load(model: string): void {
    add(this.#holders, model, 1);
    add(this.#upHolders, model, 1);
  }

  unload(model: string): void {
    add(this.#holders, model, -1);
    add(this.#upHolders, model, -1);
  }

  /** Whether an engine that holds `held` has room for a model. */
  fits(model: string, held: readonly string[], adapterMb: number): boolean {
    const usedMb = held.reduce((sum, name) => sum + this.#sizeMb(name), 0);
    return usedMb + adapterMb + this.#sizeMb(model) <=
      this.#engineClass.weightMemoryMb;
  }

  /** The model that lacks most for an engine that holds nothing: one without an
   * engine, and before others one that is asked for; else the one whose engines
   * have most requests. */
  mostLacking(wanted: ReadonlySet<string>): string | undefined {
    let most: string | undefined;
    let mostLack = -Infinity;
    for (const { name } of this.#engineClass.models) {
      if (!this.fits(name, [], 0)) continue;
      const lack = this.#lack(name, wanted.has(name));
      if (lack > mostLack) [most, mostLack] = [name, lack];
    }
    return most;
  }

  #lack(model: string, isWanted: boolean): number {
    const holders = this.holders(model);
    if (holders > 0) return (this.#loads.get(model) ?? 0) / holders;
    return isWanted ? Infinity : Number.MAX_VALUE;
  }

  #isListed(model: string): boolean {
    return this.#engineClass.models.some(({ name }) => name === model);
  }

  /** The size of a model, in MB; one that the service does not have may take all
   * of an engine's memory. */
  #sizeMb(model: string): number {
    return this.#engineClass.models.find(({ name }) => name === model)
      ?.sizeMb ?? Infinity;
  }
}

/** The next order for each engine whose models must change, by the engine's key.
 * `engines` are those of a service that are not leaving, `wanted` the models that
 * are asked for. No order exceeds the memory of an engine, or takes a model from
 * its last one.
 *
 * @example
 * ```ts
 * const order = planModels(engines, engineClass, new Set(["m2"])).get(key);
 * ```
 */
export function planModels(
  engines: readonly PlacedEngine[],
  engineClass: EngineClass,
  wanted: ReadonlySet<string>,
): ReadonlyMap<string, ModelOrder> {
  const orders = new Map<string, ModelOrder>();
  const placement = new Placement(engines, engineClass);
  const listed = new Set(engineClass.models.map(({ name }) => name));
  const isUnused = ({ models }: PlacedEngine) =>
    !models.some((model) => listed.has(model));
  for (const { key, models } of sortedByKey(engines.filter(isUnused))) {
    const [other] = models;
    if (other !== undefined) {
      orders.set(key, { action: "unload", model: other });
      continue;
    }
    const model = placement.mostLacking(wanted);
    if (model === undefined) continue;
    orders.set(key, { action: "load", model });
    placement.load(model);
  }
  for (const model of [...wanted].sort()) {
    if (!listed.has(model) || placement.holders(model) > 0) continue;
    const used = engines.filter((engine) =>
      engine.isUp && !orders.has(engine.key)
    );
    const found = placeBeside(model, used, placement) ??
      placeInstead(model, used, placement);
    if (found === undefined) continue;
    orders.set(found.key, found.order);
    if (found.order.action === "unload") placement.unload(found.order.model);
    // Its engine is empty next, or has room.
    placement.load(model);
  }
  return orders;
}

interface Found {
  readonly key: string;
  readonly order: ModelOrder;
}

/** An engine that has room for a model beside what it holds. */
function placeBeside(
  model: string,
  engines: readonly PlacedEngine[],
  placement: Placement,
): Found | undefined {
  const roomy = engines.filter(({ models, adapterMb }) =>
    placement.fits(model, models, adapterMb)
  );
  const engine = firstFor(model, roomy, () => 0);
  return engine && { key: engine.key, order: { action: "load", model } };
}

/** An engine that has room for a model without those that others hold, too: the
 * one with the model that most hold. */
function placeInstead(
  model: string,
  engines: readonly PlacedEngine[],
  placement: Placement,
): Found | undefined {
  const droppedAt = (engine: PlacedEngine) =>
    [...engine.models].filter((name) => placement.isDispensable(name))
      .sort((a, b) => placement.holders(b) - placement.holders(a))[0];
  const candidates = engines.filter(({ models }) => {
    const kept = models.filter((name) => !placement.isDispensable(name));
    return kept.length < models.length && placement.fits(model, kept, 0);
  });
  const engine = firstFor(
    model,
    candidates,
    (e) => placement.holders(droppedAt(e) ?? ""),
  );
  const dropped = engine && droppedAt(engine);
  if (engine === undefined || dropped === undefined) return undefined;
  return { key: engine.key, order: { action: "unload", model: dropped } };
}

/** The engine with the highest score; of several alike, always the same one for a
 * model. */
function firstFor(
  model: string,
  engines: readonly PlacedEngine[],
  scoreOf: (engine: PlacedEngine) => number,
): PlacedEngine | undefined {
  const hashOf = ({ key }: PlacedEngine) =>
    hashToUnitInterval(`${model}\u0000${key}`);
  return [...engines].sort((a, b) =>
    scoreOf(b) - scoreOf(a) || hashOf(b) - hashOf(a)
  )[0];
}

function sortedByKey(
  engines: readonly PlacedEngine[],
): readonly PlacedEngine[] {
  return [...engines].sort((a, b) => (a.key < b.key ? -1 : 1));
}

function add(map: Map<string, number>, key: string, n: number): void {
  map.set(key, (map.get(key) ?? 0) + n);
}
