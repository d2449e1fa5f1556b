/** Choice of the successors of each session.
 *
 * @module
 */
import { hashToUnitInterval, type Member } from "@banyanlb/core";
import {
  MAX_SESSIONS_PER_SUCCESSOR,
  SUCCESSORS_PER_SESSION,
} from "./constants.ts";

const UINT32_RANGE = 2 ** 32;

/** Data of a member that the choice uses, computed once per member. */
interface Candidate {
  readonly id: string;
  readonly region: string;
  readonly domain: string;
  readonly is_live: boolean;
  readonly seed: number;
  /** Number of sessions that this member has been chosen to succeed so far. */
  succeeded_count: number;
}

/** Returns the successors of one member, best first. Leaving members are not
 * chosen. Preferences, strongest first: a failure domain other than the
 * member's own, a successor of fewer sessions than
 * {@linkcode MAX_SESSIONS_PER_SUCCESSOR}, a domain other than the first
 * successor's, and for the first successor the member's own region.
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

/** Returns the ids of the sessions that have `self` as a successor. */
export function chooseWatchedSessions(
  self: Member,
  members: readonly Member[],
): readonly string[] {
  return [...chooseAllSuccessors(members)]
    .filter(([, successors]) => successors.includes(self.id))
    .map(([id]) => id);
}

/** Returns the successors of every member. The result is the same on every
 * instance with the same members. */
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

/** Returns the best live candidate that is not chosen yet. */
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

/** Sums the weights of the preferences that `next` meets. The caller adds a
 * rendezvous hash score below 1 to break ties. */
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

/** Mixes two hashes into a rendezvous score in [0, 1). Hashing the names of
 * each pair would be more expensive in a large fleet. */
function mixHashes(a: number, b: number): number {
  let h = Math.imul(a ^ Math.imul(b, 0x9e3779b1), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return ((h ^ (h >>> 16)) >>> 0) / UINT32_RANGE;
}
