/** Engines that end if they have to turn too many requests away.
 *
 * A request that waits at a brittle engine may be turned away, and so may all that
 * wait at the same time. So each instance lets only as many wait as its part of
 * the refusals that the engine bears.
 *
 * @module
 */
import { rankByRendezvous } from "@banyanlb/core";
import type { ServingInstances } from "../member_table.ts";

/** The engines that say that they are brittle. */
export class BrittleEngines {
  readonly #self: string;
  readonly #instances: () => ServingInstances;
  /** Refusals that each engine bears in a second, from all instances together. */
  readonly #refusalsMax = new Map<string, number>();
  readonly #ranks = new Map<string, { basis: string; rank: number }>();

  /** `self` is the name of this instance. */
  constructor(self: string, instances: () => ServingInstances) {
    this.#self = self;
    this.#instances = instances;
  }

  /** Records how many refusals an engine bears in a second; undefined if it is not
   * brittle. Returns whether that has changed. */
  record(engineKey: string, refusalsMax: number | undefined): boolean {
    const isChanged = this.#refusalsMax.get(engineKey) !== refusalsMax;
    if (refusalsMax === undefined) this.#refusalsMax.delete(engineKey);
    else this.#refusalsMax.set(engineKey, refusalsMax);
    return isChanged;
  }

  /** How many requests of this instance may wait at an engine for a response.
   *
   * @example
   * ```ts
   * if (waiting >= brittle.waitingMax("e1@7")) chooseAnother();
   * ```
   */
  waitingMax(engineKey: string): number {
    const refusalsMax = this.#refusalsMax.get(engineKey);
    if (refusalsMax === undefined) return Infinity;
    const { names, isCutOff } = this.#instances();
    // One that tries now and then finds out when the engine is sound again.
    const total = Math.max(1, Math.floor(refusalsMax));
    if (isCutOff) return 1;
    if (total >= names.length) return Math.floor(total / names.length);
    const rank = this.#rankAt(engineKey, names);
    return rank >= 0 && rank < total ? 1 : 0;
  }

  /** The place of this instance among those that may have a request waiting at an
   * engine. */
  #rankAt(engineKey: string, names: readonly string[]): number {
    // Hashes of a large fleet take long.
    const basis = names.join();
    const known = this.#ranks.get(engineKey);
    if (known?.basis === basis) return known.rank;
    const rank = rankByRendezvous(names, {
      key: engineKey,
      name: (name) => name,
    }).indexOf(this.#self);
    this.#ranks.set(engineKey, { basis, rank });
    return rank;
  }

  /** Forgets engines that are not listed any more. */
  keepOnly(isListed: (engineKey: string) => boolean): void {
    for (const key of this.#refusalsMax.keys()) {
      if (isListed(key)) continue;
      this.#refusalsMax.delete(key);
      this.#ranks.delete(key);
    }
  }
}
