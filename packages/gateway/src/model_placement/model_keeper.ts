/** Keeps the models of engines in line with what requests ask for: finds the order
 * that an owned engine needs, and tells the owners of others which models are asked
 * for and held nowhere.
 *
 * @module
 */
import {
  type EngineClass,
  type EngineTable,
  type EngineView,
  type MemberTable,
  type ModelOrder,
  type PlacedEngine,
  planModels,
} from "@banyanlb/serving";
import type { Membership } from "../membership.ts";
import type { PeerLinks } from "../peer_links.ts";
import type { OwnedModels } from "./owned_models.ts";

/** How long after a request a model counts as asked for, in milliseconds. */
const WANTED_MS = 3000;

/** Minimum time between two messages for a model, in milliseconds. */
const TELL_INTERVAL_MS = 500;

/** Parts of the gateway that the keeper uses. */
export interface ModelKeeperOptions {
  readonly self: string;
  readonly engineTable: EngineTable;
  readonly membership: Pick<Membership, "ownerOf">;
  readonly members: Pick<MemberTable, "get">;
  readonly links: Pick<PeerLinks, "send">;
  /** What engines of a service can hold. */
  readonly classOf: (service: string) => EngineClass | undefined;
  /** The models of an engine of this instance. */
  readonly ownedModels: (engineKey: string) => OwnedModels | undefined;
}

/** The models that requests ask for, and the engines that are to hold them. */
export class ModelKeeper {
  readonly #options: ModelKeeperOptions;
  /** When models were last asked for, by service. */
  readonly #wantedAt = new Map<string, Map<string, number>>();
  readonly #toldAt = new Map<string, number>();

  constructor(options: ModelKeeperOptions) {
    this.#options = options;
  }

  /** Records that a request asks for a model, and tells the owner of the engine
   * that is to hold it if none does. */
  recordRequest(service: string, model: string, now: number): void {
    if (!this.#mayBeMissing(service, model)) return;
    if (this.#placed(service, now).some((e) => e.models.includes(model))) {
      return;
    }
    this.recordWanted(service, model, now);
    const key = `${service}\u0000${model}`;
    if (now - (this.#toldAt.get(key) ?? -Infinity) < TELL_INTERVAL_MS) return;
    this.#toldAt.set(key, now);
    this.#tellOwners(service, model, now);
  }

  /** Records that a model is asked for and held nowhere, by this instance or
   * another. */
  recordWanted(service: string, model: string, now: number): void {
    if (!this.#mayBeMissing(service, model)) return;
    const models = this.#wantedAt.get(service) ?? new Map<string, number>();
    models.set(model, now);
    this.#wantedAt.set(service, models);
  }

  /** The order that an engine of this instance needs. */
  orderFor({ engine }: EngineView, now: number): ModelOrder | undefined {
    const engineClass = this.#options.classOf(engine.service);
    const held = this.#options.ownedModels(engine.key)
      ?.plannedWith(engine.models);
    if (engineClass === undefined || held === undefined) return undefined;
    const isUsed = engineClass.models.some(({ name }) => held.includes(name));
    if (isUsed && this.#wanted(engine.service, now).size === 0) {
      return undefined;
    }
    return this.#plan(engine.service, engineClass, now).get(engine.key);
  }

  /** Whether a service has the model among others. A single one is on all of its
   * engines. */
  #mayBeMissing(service: string, model: string): boolean {
    const models = this.#options.classOf(service)?.models ?? [];
    return models.length > 1 && models.some(({ name }) => name === model);
  }

  #plan(
    service: string,
    engineClass: EngineClass,
    now: number,
  ): ReadonlyMap<string, ModelOrder> {
    const engines = this.#placed(service, now);
    return planModels(engines, engineClass, this.#wanted(service, now));
  }

  #wanted(service: string, now: number): ReadonlySet<string> {
    const models = this.#wantedAt.get(service);
    if (models === undefined) return new Set();
    for (const [model, at] of models) {
      if (now - at > WANTED_MS) models.delete(model);
    }
    return new Set(models.keys());
  }

  #tellOwners(service: string, model: string, now: number): void {
    const { self, membership, members, links, classOf } = this.#options;
    const engineClass = classOf(service);
    if (engineClass === undefined) return;
    for (const key of this.#plan(service, engineClass, now).keys()) {
      const owner = membership.ownerOf(key);
      if (owner === undefined || owner === self) continue;
      const address = members.get(owner)?.peerAddress;
      if (address === undefined) continue;
      links.send(address, { t: "want", service, model });
    }
  }

  /** The engines of a service that are not leaving. */
  #placed(service: string, now: number): readonly PlacedEngine[] {
    const { engineTable, classOf, ownedModels } = this.#options;
    const adapterMb = Math.max(
      0,
      ...(classOf(service)?.models ?? []).map((m) => m.adapterSizeMb),
    );
    const views = engineTable.ofService(service)
      .filter(({ engine }) => !engine.leaving);
    return views.map((view): PlacedEngine => {
      const { key, models } = view.engine;
      const owned = ownedModels(key);
      const adapterCount = owned?.adapterCount ??
        models.reduce((sum, { adapters }) => sum + adapters.length, 0);
      return {
        key,
        models: owned?.plannedWith(models) ?? models.map(({ name }) => name),
        adapterMb: adapterCount * adapterMb,
        load: view.load(now),
        isUp: !view.down,
      };
    });
  }
}
