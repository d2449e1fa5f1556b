/** Which sessions succeed which.
 *
 * @module
 */
import { hashToUnitInterval, type Member } from "@banyanlb/core";
import { MAX_SUCCEEDED, SUCCESSORS_PER_SESSION } from "./constants.ts";

const UINT32_RANGE = 2 ** 32;

/** What the choice needs of a member, computed once. */
interface Candidate {
  readonly id: string;
  readonly region: string;
  readonly domain: string;
  readonly is_live: boolean;
  readonly seed: number;
  /** Sessions that it succeeds so far. */
  succeeded: number;
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
export function chooseWatched(
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
    const successors = chooseFor(self, candidates);
    for (const successor of successors) successor.succeeded++;
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
    succeeded: 0,
  };
}

function chooseFor(
  self: Candidate,
  candidates: readonly Candidate[],
): readonly Candidate[] {
  const chosen: Candidate[] = [];
  while (chosen.length < SUCCESSORS_PER_SESSION) {
    const next = chooseNext(self, candidates, chosen);
    if (next === undefined) break;
    chosen.push(next);
  }
  return chosen;
}

/** The best candidate that is not chosen yet. */
function chooseNext(
  self: Candidate,
  candidates: readonly Candidate[],
  chosen: readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined;
  let best_score = -1;
  for (const next of candidates) {
    if (!next.is_live || next === self || chosen.includes(next)) continue;
    const score = preference(self, next, chosen) + mix(self.seed, next.seed);
    if (score <= best_score) continue;
    best = next;
    best_score = score;
  }
  return best;
}

/** Weights of the preferences; the rendezvous score below 1 breaks ties. */
function preference(
  self: Candidate,
  next: Candidate,
  chosen: readonly Candidate[],
): number {
  const other_domain = next.domain === self.domain ? 0 : 16;
  const has_room = next.succeeded < MAX_SUCCEEDED ? 8 : 0;
  const new_domain = chosen[0]?.domain === next.domain ? 0 : 4;
  const near = chosen.length === 0 && next.region === self.region ? 2 : 0;
  return other_domain + has_room + new_domain + near;
}

function seedOf(id: string): number {
  return Math.floor(hashToUnitInterval(id) * UINT32_RANGE);
}

/** Mixes two hashes into a score in [0, 1); cheaper than hashing each of the
 * pairs of a large fleet. */
function mix(a: number, b: number): number {
  let h = Math.imul(a ^ Math.imul(b, 0x9e3779b1), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return ((h ^ (h >>> 16)) >>> 0) / UINT32_RANGE;
}
