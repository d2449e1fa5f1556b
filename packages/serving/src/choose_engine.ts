/** Where a request goes.
 *
 * An adapter has its own order of engines (rendezvous), so that it is fetched
 * once and its prompts are cached in one place. It spreads to the next engine
 * of that order when those that hold it are too busy or fail.
 *
 * @module
 */
import { rankByRendezvous } from "@banyanlb/core";
import { FETCHES_AT_ONCE } from "./adapter_places.ts";
import type { EngineBoard, EngineView } from "./engine_board.ts";

/** Cost of the way to another zone, in units of a full engine: a tie-break. */
const OTHER_ZONE_COST = 0.02;

/** Cost of the way to another region: its bytes are dear and it adds
 * a round trip, but a busy engine adds more. */
const OTHER_REGION_COST = 0.12;

/** Cost of a failure rate of 1, in units of a full engine. */
const FAILURE_COST = 2;

/** How much cheaper an engine without the adapter must be before the adapter
 * is fetched there too, in requests: from fifteen on, the prompts of some stop
 * the streams of the others for too long in one of ten requests, below eight in
 * one of a hundred; a fetch costs about a third of a late request. */
const SPREAD_REQUESTS = 8;

/** The same for small engines, in units of a full one. */
const SPREAD_SHARE_MAX = 0.5;

/** Load against slots from which a request waits for a further copy instead of
 * joining an engine's queue. */
const QUEUE_LIMIT = 1.5;

/** A load, in slots, beyond which an engine gets no request at all. */
const FULL_LIMIT = 2.5;

/** A leaving engine serves requests on its adapters for this long, in
 * milliseconds: the time of a fetch elsewhere, short against the time that the
 * deployments give a leaving engine. */
const LEAVING_USED_MS = 800;

/** Requests that an engine runs without its tokens becoming slower than callers
 * expect, whatever its slots: prompts are read between the tokens of others. */
const COMFORTABLE_LOAD = 32;

/** Cost of an engine whose fetches are all taken: a cold crowd then fetches at
 * the next engine of its order, since waiting costs more than another place. */
const FETCHES_TAKEN_COST = 0.6;

/** What a request needs from an engine. */
export interface Need {
  readonly service: string;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** The newest version of the adapter that was announced. */
  readonly version: number;
  /** Whether an older version may serve still, since the newer one was
   * announced just now. */
  readonly olderAllowed: boolean;
  /** Engines that have been tried already. */
  readonly excluded: ReadonlySet<string>;
}

/** Where this instance stands, and who can order. */
export interface Surroundings {
  readonly zone: string;
  readonly regionOf: (zone: string) => string | undefined;
  /** Whether an instance that can order at this engine is reachable. */
  readonly canOrder: (engineKey: string) => boolean;
  readonly now: number;
}

/** What to do with a request. */
export type Choice =
  /** Send it; `spreadTo` should fetch the adapter as well. */
  | {
    readonly kind: "send";
    readonly view: EngineView;
    readonly spreadTo: EngineView | undefined;
  }
  /** Have the adapter loaded first. */
  | { readonly kind: "load"; readonly view: EngineView }
  /** Nothing can serve it now. */
  | { readonly kind: "none"; readonly reason: "no_engine" | "full" };

/** Ranks and weighs engines; keeps the order of each adapter. */
export class EngineChooser {
  readonly #board: EngineBoard;
  #generation = -1;
  readonly #ranks = new Map<string, readonly EngineView[]>();

  constructor(board: EngineBoard) {
    this.#board = board;
  }

  /** Decides where a request goes.
   *
   * @example
   * ```ts
   * const choice = chooser.choose(need, surroundings);
   * if (choice.kind === "send") send(choice.view);
   * ```
   */
  choose(need: Need, around: Surroundings): Choice {
    const all = this.#board.ofService(need.service);
    const open = all.filter((view) =>
      !view.engine.leaving && !need.excluded.has(view.engine.key)
    );
    // With every engine said to be down, the report is more likely wrong.
    const up = open.filter((view) => !view.down);
    const usable = up.length > 0 ? up : open;
    if (usable.length === 0) return { kind: "none", reason: "no_engine" };
    if (need.model === undefined || need.adapter === undefined) {
      return chooseAny(usable, need, around);
    }
    const choice = this.#chooseForAdapter(usable, need, around);
    if (choice.kind === "send") return choice;
    const leaving = all.find((view) =>
      isLeavingHolder(view, need, around.now) &&
      !need.excluded.has(view.engine.key)
    );
    if (leaving === undefined) return choice;
    const spreadTo = choice.kind === "load" ? choice.view : undefined;
    return { kind: "send", view: leaving, spreadTo };
  }

  /** The order of engines for an adapter. */
  rank(service: string, key: string): readonly EngineView[] {
    if (this.#generation !== this.#board.generation) {
      this.#ranks.clear();
      this.#generation = this.#board.generation;
    }
    const name = `${service} ${key}`;
    const known = this.#ranks.get(name);
    if (known !== undefined) return known;
    const ranked = rankByRendezvous(this.#board.ofService(service), {
      key,
      name: (view) => view.engine.id,
    });
    this.#ranks.set(name, ranked);
    return ranked;
  }

  #chooseForAdapter(
    usable: readonly EngineView[],
    need: Need,
    around: Surroundings,
  ): Choice {
    const { now } = around;
    const adapter = need.adapter ?? "";
    let best: EngineView | undefined;
    let bestCost = Infinity;
    let coming: EngineView | undefined;
    let comingAt = Infinity;
    let older: EngineView | undefined;
    let olderCost = Infinity;
    for (const view of usable) {
      const held = view.adapters.get(adapter);
      if (held === undefined) continue;
      if (held.version < need.version) {
        const cost = costOf(view, around);
        if (need.olderAllowed && held.readyAt <= now && cost < olderCost) {
          older = view;
          olderCost = cost;
        }
        continue;
      }
      if (held.readyAt > now) {
        if (held.readyAt < comingAt) {
          comingAt = held.readyAt;
          coming = view;
        }
        continue;
      }
      const cost = costOf(view, around);
      if (cost < bestCost) {
        bestCost = cost;
        best = view;
      }
    }
    const candidates = new Set(usable);
    const spreadFrom = best === undefined ? 0 : spreadShare(best);
    const other = best !== undefined && bestCost < spreadFrom
      ? undefined
      : this.#cheapestWithout(candidates, need, around);
    if (best !== undefined) {
      const spread = other !== undefined && coming === undefined &&
        bestCost - other.cost > spreadFrom;
      if (loadShare(best, now) < QUEUE_LIMIT || other === undefined) {
        if (loadShare(best, now) > FULL_LIMIT) {
          return { kind: "none", reason: "full" };
        }
        const spreadTo = spread ? other?.view : undefined;
        return { kind: "send", view: best, spreadTo };
      }
      return { kind: "load", view: coming ?? other.view };
    }
    if (older !== undefined) {
      const spreadTo = coming === undefined ? other?.view : undefined;
      return { kind: "send", view: older, spreadTo };
    }
    const view = coming ?? other?.view;
    if (view === undefined) return { kind: "none", reason: "full" };
    return { kind: "load", view };
  }

  /** The first engines of the adapter's order that could fetch it, and the
   * cheapest of them: a busy first choice yields to the second. */
  #cheapestWithout(
    usable: ReadonlySet<EngineView>,
    need: Need,
    around: Surroundings,
  ): { readonly view: EngineView; readonly cost: number } | undefined {
    let best: EngineView | undefined;
    let bestCost = Infinity;
    let position = 0;
    const adapter = need.adapter ?? "";
    for (const view of this.rank(need.service, adapter)) {
      if (!usable.has(view)) continue;
      const held = view.adapters.get(adapter);
      // An older version there may be in use, and a load would wait for that.
      if (held !== undefined) continue;
      if (!view.holdsModel(need.model ?? "")) continue;
      if (!around.canOrder(view.engine.key)) continue;
      const cost = costOf(view, around) + position * spreadShare(view) +
        FETCHES_TAKEN_COST *
          Math.floor(fetchesAt(view, around.now) / FETCHES_AT_ONCE);
      if (loadShare(view, around.now) < FULL_LIMIT && cost < bestCost) {
        best = view;
        bestCost = cost;
      }
      position += 1;
    }
    if (best === undefined) return undefined;
    return { view: best, cost: costOf(best, around) };
  }
}

function chooseAny(
  usable: readonly EngineView[],
  need: Need,
  around: Surroundings,
): Choice {
  let best: EngineView | undefined;
  let bestCost = Infinity;
  for (const view of usable) {
    if (need.model !== undefined && !view.holdsModel(need.model)) continue;
    const cost = costOf(view, around);
    if (cost < bestCost) {
      bestCost = cost;
      best = view;
    }
  }
  if (best === undefined) return { kind: "none", reason: "no_engine" };
  if (loadShare(best, around.now) > FULL_LIMIT) {
    return { kind: "none", reason: "full" };
  }
  return { kind: "send", view: best, spreadTo: undefined };
}

/** Whether a leaving engine holds the adapter and still has the time for one
 * more request, while the adapter is fetched elsewhere. */
function isLeavingHolder(
  view: EngineView,
  need: Need,
  now: number,
): boolean {
  const { engine, leavingSince, adapters } = view;
  if (!engine.leaving || leavingSince === undefined || view.down) return false;
  if (engine.remainingMs !== undefined) return false;
  const held = adapters.get(need.adapter ?? "");
  return now - leavingSince < LEAVING_USED_MS && held !== undefined &&
    held.version >= need.version && held.readyAt <= now;
}

function fetchesAt(view: EngineView, now: number): number {
  let count = 0;
  for (const { readyAt } of view.adapters.values()) if (readyAt > now) count++;
  return count;
}

function spreadShare(view: EngineView): number {
  return Math.min(SPREAD_SHARE_MAX, SPREAD_REQUESTS / comfortableLoad(view));
}

function comfortableLoad(view: EngineView): number {
  return Math.max(1, Math.min(view.engine.slots, COMFORTABLE_LOAD));
}

function loadShare(view: EngineView, now: number): number {
  return view.load(now) / comfortableLoad(view);
}

function costOf(view: EngineView, around: Surroundings): number {
  const { zone, regionOf, now } = around;
  const distance = view.engine.zone === zone
    ? 0
    : regionOf(view.engine.zone) === regionOf(zone)
    ? OTHER_ZONE_COST
    : OTHER_REGION_COST;
  return loadShare(view, now) + distance +
    FAILURE_COST * view.health.failureRate(now);
}
