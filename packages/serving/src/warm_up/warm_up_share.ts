/** Shares what a cold engine bears among a few instances.
 *
 * Who shares follows from the names and places of all instances that may serve
 * callers, whether they are heard of or not: two parts of a fleet that do not
 * hear each other then choose the same ones, and the shares of those that are
 * gone stay unused for the short time that an engine is cold.
 *
 * @module
 */
import { rankByRendezvous } from "@banyanlb/core";
import { ALLOWANCE_BURST_MS } from "../allowance/request_allowance.ts";
import { distanceBetween, type Place } from "../distance.ts";
import type { Member, WarmUpTerms } from "../types.ts";

/** Part of the difference between what an engine bears and what it may get in one
 * second that the first requests of all sharers may take. The rest is for
 * requests that are held up on the way and arrive together. */
const SHARERS_FRACTION = 0.5;

/** An instance that may send requests. */
export type Sharer = Pick<Member, "name" | "zone" | "region">;

/** What a cold engine may get in one second, in multiples of what it bears, and the
 * number of requests beyond. */
export interface ColdBounds {
  readonly ratio: number;
  readonly fixed: number;
}

/** The requests a second that `self` may send to a cold engine; 0 for most
 * instances. Those near the engine are chosen, since they would send it most of
 * its requests.
 *
 * @example
 * ```ts
 * warmUpShare("i1", { key: "e1@7", place, terms }, { sharers, bounds });
 * ```
 */
export function warmUpShare(
  self: string,
  engine: {
    readonly key: string;
    readonly place: Place;
    readonly terms: WarmUpTerms;
  },
  fleet: {
    readonly sharers: readonly Sharer[];
    readonly bounds: ColdBounds;
  },
): number {
  const { requestsPerSecond } = engine.terms;
  const { ratio, fixed } = fleet.bounds;
  const mostInOneSecond = requestsPerSecond * ratio + fixed;
  // In one second the sharers send their rate and what they may send at once.
  const rate = Math.min(
    requestsPerSecond,
    mostInOneSecond / (1 + ALLOWANCE_BURST_MS / 1000),
  );
  const count = Math.max(
    1,
    Math.floor((mostInOneSecond - rate) * SHARERS_FRACTION),
  );
  const ranked = rankByRendezvous(fleet.sharers, {
    key: engine.key,
    name: ({ name }) => name,
  }).toSorted((a, b) =>
    distanceBetween(a, engine.place) - distanceBetween(b, engine.place)
  );
  const rank = ranked.findIndex(({ name }) => name === self);
  const sharers = Math.min(count, ranked.length);
  return rank >= 0 && rank < sharers ? rate / sharers : 0;
}
