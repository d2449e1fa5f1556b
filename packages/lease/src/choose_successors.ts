/** Which sessions succeed which.
 *
 * @module
 */
import { hashToUnitInterval, type Member } from "@banyanlb/core";
import {
  MAX_SESSIONS_PER_SUCCESSOR,
  SUCCESSORS_PER_SESSION,
} from "./constants.ts";

const UINT32_RANGE = 2 ** 32;

/** What the choice needs of a member, computed once. */
interface Candidate {
  readonly id: string;
  readonly region: string;
  readonly domain: string;
  readonly is_live: boolean;
  readonly seed: number;
  /** Sessions that it succeeds so far. */
  succeeded_count: number;
}

/** Successors of one member, best first: two in other failure domains than
 * its own, different ones if there are, the first of its own region if there
 * is one. Members of the same domain only where there is no other.
 *
 * @example
 * ```ts
 * lease.setSuccessors(chooseSuccessors(self, view.members));
 * ```
 */
export function chooseSuccessors(
  self: Member,
  members: readonly Member[],
): readonly string[] {
  return chooseAllSuccessors(members).get(self.id) ?? [];
}

/** Sessions that `chooseSuccessors` makes `self` a successor of. */
export function chooseWatchedSessions(
  self: Member,
  members: readonly Member[],
): readonly string[] {
  return [...chooseAllSuccessors(members)]
    .filter(([, successors]) => successors.includes(self.id))
    .map(([id]) => id);
}

/** Successors of every member. The same on every instance. */
export function chooseAllSuccessors(
  members: readonly Member[],
): ReadonlyMap<string, readonly string[]> {
  const candidates = [...members]
    .sort((a, b) => a.id < b.id ? -1 : 1)
    .map(toCandidate);
  const chosen = new Map<string, readonly string[]>();
  for (const self of candidates) {
    const successors = chooseSuccessorsOf(self, candidates);
    for (const successor of successors) successor.succeeded_count++;
    chosen.set(self.id, successors.map((successor) => successor.id));
  }
  return chosen;
}

function toCandidate(member: Member): Candidate {
  return {
    id: member.id,
    region: member.region,
    domain: `${member.region}/${member.failure_domain}`,
    is_live: member.state === "live",
    seed: seedOf(member.id),
    succeeded_count: 0,
  };
}

function chooseSuccessorsOf(
  self: Candidate,
  candidates: readonly Candidate[],
): readonly Candidate[] {
  const chosen: Candidate[] = [];
  while (chosen.length < SUCCESSORS_PER_SESSION) {
    const next = chooseBestRemaining(self, candidates, chosen);
    if (next === undefined) break;
    chosen.push(next);
  }
  return chosen;
}

/** The best candidate that is not chosen yet. */
function chooseBestRemaining(
  self: Candidate,
  candidates: readonly Candidate[],
  chosen: readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined;
  let best_score = -1;
  for (const next of candidates) {
    if (!next.is_live || next === self || chosen.includes(next)) continue;
    const score = preferenceScore(self, next, chosen) +
      mixHashes(self.seed, next.seed);
    if (score <= best_score) continue;
    best = next;
    best_score = score;
  }
  return best;
}

/** Weights of the preferences; the rendezvous score below 1 breaks ties. */
function preferenceScore(
  self: Candidate,
  next: Candidate,
  chosen: readonly Candidate[],
): number {
  const other_domain_weight = next.domain === self.domain ? 0 : 16;
  const capacity_weight = next.succeeded_count < MAX_SESSIONS_PER_SUCCESSOR
    ? 8
    : 0;
  const new_domain_weight = chosen[0]?.domain === next.domain ? 0 : 4;
  const same_region_weight = chosen.length === 0 && next.region === self.region
    ? 2
    : 0;
  return other_domain_weight + capacity_weight + new_domain_weight +
    same_region_weight;
}

function seedOf(id: string): number {
  return Math.floor(hashToUnitInterval(id) * UINT32_RANGE);
}

/** Mixes two hashes into a score in [0, 1); cheaper than hashing each of the
 * pairs of a large fleet. */
function mixHashes(a: number, b: number): number {
  let h = Math.imul(a ^ Math.imul(b, 0x9e3779b1), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return ((h ^ (h >>> 16)) >>> 0) / UINT32_RANGE;
}
