/** Rendezvous hashing of names over slots.
 *
 * @module
 */
import { hashToUnitInterval } from "@banyanlb/core";

const UINT32_RANGE = 2 ** 32;

/** Seeds of the slots by index; they never change, so one table serves all. */
const slot_seeds: number[] = [];

/** How many slots there are and how many of the best to take. */
export interface RankOptions {
  readonly slots: number;
  readonly take: number;
}

/** The best slots for a name, best first. */
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

/** Rendezvous score of a member for a slot. */
export function rendezvousScore(member_seed: number, slot: number): number {
  return mixHashes(member_seed, slotSeed(slot));
}

/** Seed of a name for {@linkcode rendezvousScore}. */
export function seedOf(name: string): number {
  return Math.floor(hashToUnitInterval(name) * UINT32_RANGE);
}

function slotSeed(slot: number): number {
  for (let next = slot_seeds.length; next <= slot; next++) {
    slot_seeds.push(seedOf(`slot/${next}`));
  }
  return slot_seeds[slot] ?? 0;
}

/** Mixes two hashes; cheaper than hashing each pair of name and slot. */
function mixHashes(a: number, b: number): number {
  let h = Math.imul(a ^ Math.imul(b, 0x9e3779b1), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
