/** Rendezvous hashing of names over slots.
 *
 * @module
 */
import { hashToUnitInterval } from "@banyanlb/core";

const UINT32_RANGE = 2 ** 32;

/** Seeds of the slots by index, shared by all fleets because a slot's seed
 * depends on its index only. */
const slot_seeds: number[] = [];

/** Number of slots in the table, and number of slots to return. */
export interface RankOptions {
  readonly slots: number;
  readonly take: number;
}

/** Returns the `take` slots with the highest scores for a name, highest
 * first. */
export function rankSlots(
  name: string,
  options: RankOptions,
): readonly number[] {
  const seed = seedOf(name);
  const best: { readonly slot: number; readonly score: number }[] = [];
  for (let slot = 0; slot < options.slots; slot++) {
    const score = mixHashes(seed, slotSeed(slot));
    const last = best[options.take - 1];
    if (last !== undefined && last.score >= score) continue;
    best.push({ slot, score });
    best.sort((a, b) => b.score - a.score);
    best.length = Math.min(best.length, options.take);
  }
  return best.map((row) => row.slot);
}

/** Returns the rendezvous score of a member for a slot. */
export function rendezvousScore(member_seed: number, slot: number): number {
  return mixHashes(member_seed, slotSeed(slot));
}

/** Returns the seed of a name for {@linkcode rendezvousScore}. */
export function seedOf(name: string): number {
  return Math.floor(hashToUnitInterval(name) * UINT32_RANGE);
}

function slotSeed(slot: number): number {
  for (let next = slot_seeds.length; next <= slot; next++) {
    slot_seeds.push(seedOf(`slot/${next}`));
  }
  return slot_seeds[slot] ?? 0;
}

/** Mixes two hashes into a rendezvous score. Hashing each pair of name and slot
 * would be more expensive. */
function mixHashes(a: number, b: number): number {
  let h = Math.imul(a ^ Math.imul(b, 0x9e3779b1), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
