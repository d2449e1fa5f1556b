/** The models of one engine that this instance owns, as reports show them.
 *
 * @module
 */
import {
  type EngineClass,
  type EngineReport,
  type HeldModel,
  type ModelOrder,
} from "@banyanlb/serving";

/** What an engine holds, and the order that changes it. */
export class OwnedModels {
  #held: readonly string[];
  /** The order that the engine has accepted and not carried out yet. */
  #accepted: ModelOrder | undefined;
  /** The number of orders of a report that no order has followed. */
  #orderCount: number | undefined;
  /** The adapters that it holds or fetches, by the last report. */
  #adapterCount = 0;

  /** `listed` are the models in the engine's entry. */
  constructor(listed: readonly HeldModel[]) {
    this.#held = listed.map(({ name }) => name);
  }

  /** The models that it holds or is loading, without one that it drops. Those in
   * its entry, `listed`, count as well: a report may be older. */
  plannedWith(listed: readonly HeldModel[] = []): readonly string[] {
    const held = new Set([...this.#held, ...listed.map(({ name }) => name)]);
    const { action, model } = this.#accepted ?? {};
    if (model === undefined) return [...held];
    held.delete(model);
    return action === "load" ? [...held, model] : [...held];
  }

  /** Number of adapters that it holds or fetches. */
  get adapterCount(): number {
    return this.#adapterCount;
  }

  /** Whether an order is being carried out. */
  get isChanging(): boolean {
    return this.#accepted !== undefined;
  }

  /** The number of orders that the engine has accepted; undefined if an order must
   * wait for a report. */
  get orderCount(): number | undefined {
    return this.#accepted === undefined ? this.#orderCount : undefined;
  }

  /** Records that an order is sent: what is known of the engine is outdated. */
  recordSent(): void {
    this.#orderCount = undefined;
  }

  /** Records that the engine has accepted an order. */
  recordAccepted(order: ModelOrder): void {
    this.#accepted = order;
  }

  /** Applies a report. */
  applyReport({ models, fetching, orderCount }: EngineReport): void {
    this.#held = models.map(({ name }) => name);
    this.#adapterCount = models.reduce(
      (sum, { adapters }) => sum + adapters.length,
      fetching.length,
    );
    this.#orderCount = orderCount;
    this.applyEntry(models);
  }

  /** Applies the models of the engine's entry, which may show the end of an order
   * before a report does. */
  applyEntry(listed: readonly HeldModel[]): void {
    if (this.#accepted === undefined) return;
    const { action, model } = this.#accepted;
    const isHeld = listed.some(({ name }) => name === model);
    if (isHeld === (action === "load")) this.#accepted = undefined;
  }
}

/** Number of adapters for which an engine has room beside its models: what is
 * loaded next must not exceed its memory.
 *
 * @example
 * ```ts
 * slots.setSlotCount(adapterSlotsBeside(engineClass, models.plannedWith()));
 * ```
 */
export function adapterSlotsBeside(
  { models, adapterSlots, weightMemoryMb }: EngineClass,
  held: readonly string[],
): number {
  // An engine that holds nothing yet is to hold one of them.
  const present = models.filter(({ name }) => held.includes(name));
  const counted = present.length > 0 ? present : models.slice(0, 1);
  const modelsMb = counted.reduce((sum, { sizeMb }) => sum + sizeMb, 0);
  const adapterMb = Math.max(0, ...counted.map((m) => m.adapterSizeMb));
  const slotsInMemory = adapterMb > 0
    ? Math.floor((weightMemoryMb - modelsMb) / adapterMb)
    : adapterSlots;
  return Math.max(0, Math.min(adapterSlots, slotsInMemory));
}
