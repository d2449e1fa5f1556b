/** Where a request goes.
 *
 * An adapter has its own order of engines (rendezvous), so that it is fetched
 * once and its prompts are cached in one place. It spreads to the next engine
 * of that order when those that hold it are too busy or fail.
 *
 * @module
 */
import { rankByRendezvous } from "@banyanlb/core";
import { CONCURRENT_FETCHES_MAX } from "./adapter_places.ts";
import type { EngineTable, EngineView } from "./engine_board.ts";

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
const SPREAD_THRESHOLD_REQUESTS = 8;

/** The same for small engines, in units of a full one. */
const SPREAD_THRESHOLD_MAX = 0.5;

/** Load against slots from which a request waits for a further copy instead of
 * joining an engine's queue. */
const QUEUE_LOAD_RATIO = 1.5;

/** A load, in slots, beyond which an engine gets no request at all. */
const FULL_LOAD_RATIO = 2.5;

/** A leaving engine serves requests on its adapters for this long, in
 * milliseconds: the time of a fetch elsewhere, short against the time that the
 * deployments give a leaving engine. */
const LEAVING_ENGINE_USE_MS = 800;

/** Requests that an engine runs without its tokens becoming slower than callers
 * expect, whatever its slots: prompts are read between the tokens of others. */
const FULL_SPEED_REQUESTS_MAX = 32;

/** Cost of an engine whose fetches are all taken: a cold crowd then fetches at
 * the next engine of its order, since waiting costs more than another place. */
const FETCH_LIMIT_COST = 0.6;

/** What a request needs from an engine. */
export interface EngineRequirements {
  readonly service: string;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** The newest version of the adapter that was announced. */
  readonly version: number;
  /** Whether an older version may serve still, since the newer one was
   * announced just now. */
  readonly isOlderVersionAllowed: boolean;
  /** Engines that have been tried already. */
  readonly excludedEngines: ReadonlySet<string>;
}

/** Where this instance stands, and who can order. */
export interface SelectionContext {
  readonly zone: string;
  readonly regionOf: (zone: string) => string | undefined;
  /** Whether an instance that can order at this engine is reachable. */
  readonly canOrder: (engineKey: string) => boolean;
  readonly now: number;
}

/** What to do with a request. */
export type EngineChoice =
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
  readonly #engines: EngineTable;
  #generation = -1;
  readonly #rankings = new Map<string, readonly EngineView[]>();

  constructor(engines: EngineTable) {
    this.#engines = engines;
  }

  /** Decides where a request goes.
   *
   * @example
   * ```ts
   * const choice = chooser.choose(need, surroundings);
   * if (choice.kind === "send") send(choice.view);
   * ```
   */
  choose(
    requirements: EngineRequirements,
    context: SelectionContext,
  ): EngineChoice {
    const serviceEngines = this.#engines.ofService(requirements.service);
    const eligible = serviceEngines.filter((view) =>
      !view.engine.leaving && !requirements.excludedEngines.has(view.engine.key)
    );
    // With every engine said to be down, the report is more likely wrong.
    const reachable = eligible.filter((view) => !view.down);
    const usable = reachable.length > 0 ? reachable : eligible;
    if (usable.length === 0) return { kind: "none", reason: "no_engine" };
    if (
      requirements.model === undefined || requirements.adapter === undefined
    ) {
      return chooseWithoutAdapter(usable, requirements, context);
    }
    const choice = this.#chooseForAdapter(usable, requirements, context);
    if (choice.kind === "send") return choice;
    const leaving = serviceEngines.find((view) =>
      isLeavingHolder(view, requirements, context.now) &&
      !requirements.excludedEngines.has(view.engine.key)
    );
    if (leaving === undefined) return choice;
    const spreadTo = choice.kind === "load" ? choice.view : undefined;
    return { kind: "send", view: leaving, spreadTo };
  }

  /** The order of engines for an adapter. */
  rank(service: string, key: string): readonly EngineView[] {
    if (this.#generation !== this.#engines.generation) {
      this.#rankings.clear();
      this.#generation = this.#engines.generation;
    }
    const cacheKey = `${service} ${key}`;
    const cached = this.#rankings.get(cacheKey);
    if (cached !== undefined) return cached;
    const ranked = rankByRendezvous(this.#engines.ofService(service), {
      key,
      name: (view) => view.engine.id,
    });
    this.#rankings.set(cacheKey, ranked);
    return ranked;
  }

  #chooseForAdapter(
    usable: readonly EngineView[],
    requirements: EngineRequirements,
    context: SelectionContext,
  ): EngineChoice {
    const { now } = context;
    const adapter = requirements.adapter ?? "";
    let best: EngineView | undefined;
    let bestCost = Infinity;
    let fetchingView: EngineView | undefined;
    let fetchReadyAt = Infinity;
    let olderView: EngineView | undefined;
    let olderCost = Infinity;
    for (const view of usable) {
      const held = view.adapters.get(adapter);
      if (held === undefined) continue;
      if (held.version < requirements.version) {
        const cost = costOf(view, context);
        if (
          requirements.isOlderVersionAllowed && held.readyAt <= now &&
          cost < olderCost
        ) {
          olderView = view;
          olderCost = cost;
        }
        continue;
      }
      if (held.readyAt > now) {
        if (held.readyAt < fetchReadyAt) {
          fetchReadyAt = held.readyAt;
          fetchingView = view;
        }
        continue;
      }
      const cost = costOf(view, context);
      if (cost < bestCost) {
        bestCost = cost;
        best = view;
      }
    }
    const usableViews = new Set(usable);
    const threshold = best === undefined ? 0 : spreadThreshold(best);
    const alternative = best !== undefined && bestCost < threshold
      ? undefined
      : this.#cheapestNonHolder(usableViews, requirements, context);
    if (best !== undefined) {
      const shouldSpread = alternative !== undefined &&
        fetchingView === undefined &&
        bestCost - alternative.cost > threshold;
      if (
        loadRatio(best, now) < QUEUE_LOAD_RATIO || alternative === undefined
      ) {
        if (loadRatio(best, now) > FULL_LOAD_RATIO) {
          return { kind: "none", reason: "full" };
        }
        const spreadTo = shouldSpread ? alternative?.view : undefined;
        return { kind: "send", view: best, spreadTo };
      }
      return { kind: "load", view: fetchingView ?? alternative.view };
    }
    if (olderView !== undefined) {
      const spreadTo = fetchingView === undefined
        ? alternative?.view
        : undefined;
      return { kind: "send", view: olderView, spreadTo };
    }
    const view = fetchingView ?? alternative?.view;
    if (view === undefined) return { kind: "none", reason: "full" };
    return { kind: "load", view };
  }

  /** The first engines of the adapter's order that could fetch it, and the
   * cheapest of them: a busy first choice yields to the second. */
  #cheapestNonHolder(
    usable: ReadonlySet<EngineView>,
    requirements: EngineRequirements,
    context: SelectionContext,
  ): { readonly view: EngineView; readonly cost: number } | undefined {
    let best: EngineView | undefined;
    let bestCost = Infinity;
    let position = 0;
    const adapter = requirements.adapter ?? "";
    for (const view of this.rank(requirements.service, adapter)) {
      if (!usable.has(view)) continue;
      const held = view.adapters.get(adapter);
      // An older version there may be in use, and a load would wait for that.
      if (held !== undefined) continue;
      if (!view.holdsModel(requirements.model ?? "")) continue;
      if (!context.canOrder(view.engine.key)) continue;
      const cost = costOf(view, context) + position * spreadThreshold(view) +
        FETCH_LIMIT_COST *
          Math.floor(fetchCount(view, context.now) / CONCURRENT_FETCHES_MAX);
      if (loadRatio(view, context.now) < FULL_LOAD_RATIO && cost < bestCost) {
        best = view;
        bestCost = cost;
      }
      position += 1;
    }
    if (best === undefined) return undefined;
    return { view: best, cost: costOf(best, context) };
  }
}

function chooseWithoutAdapter(
  usable: readonly EngineView[],
  requirements: EngineRequirements,
  context: SelectionContext,
): EngineChoice {
  let best: EngineView | undefined;
  let bestCost = Infinity;
  for (const view of usable) {
    if (
      requirements.model !== undefined && !view.holdsModel(requirements.model)
    ) continue;
    const cost = costOf(view, context);
    if (cost < bestCost) {
      bestCost = cost;
      best = view;
    }
  }
  if (best === undefined) return { kind: "none", reason: "no_engine" };
  if (loadRatio(best, context.now) > FULL_LOAD_RATIO) {
    return { kind: "none", reason: "full" };
  }
  return { kind: "send", view: best, spreadTo: undefined };
}

/** Whether a leaving engine holds the adapter and still has the time for one
 * more request, while the adapter is fetched elsewhere. */
function isLeavingHolder(
  view: EngineView,
  requirements: EngineRequirements,
  now: number,
): boolean {
  const { engine, leavingSince, adapters } = view;
  if (!engine.leaving || leavingSince === undefined || view.down) return false;
  if (engine.remainingMs !== undefined) return false;
  const held = adapters.get(requirements.adapter ?? "");
  return now - leavingSince < LEAVING_ENGINE_USE_MS && held !== undefined &&
    held.version >= requirements.version && held.readyAt <= now;
}

function fetchCount(view: EngineView, now: number): number {
  let count = 0;
  for (const { readyAt } of view.adapters.values()) if (readyAt > now) count++;
  return count;
}

function spreadThreshold(view: EngineView): number {
  return Math.min(
    SPREAD_THRESHOLD_MAX,
    SPREAD_THRESHOLD_REQUESTS / fullSpeedCapacity(view),
  );
}

function fullSpeedCapacity(view: EngineView): number {
  return Math.max(1, Math.min(view.engine.slots, FULL_SPEED_REQUESTS_MAX));
}

function loadRatio(view: EngineView, now: number): number {
  return view.load(now) / fullSpeedCapacity(view);
}

function costOf(view: EngineView, context: SelectionContext): number {
  const { zone, regionOf, now } = context;
  const distance = view.engine.zone === zone
    ? 0
    : regionOf(view.engine.zone) === regionOf(zone)
    ? OTHER_ZONE_COST
    : OTHER_REGION_COST;
  return loadRatio(view, now) + distance +
    FAILURE_COST * view.health.failureRate(now);
}
