/** Chooses the engine for a request.
 *
 * Each adapter has its own order of engines by rendezvous hashing, so that it
 * is loaded on one engine first and its prompts are cached there. It spreads to
 * the next engine of that order when the engines that hold it are too busy or
 * fail.
 *
 * Costs are load ratios: the requests at an engine divided by the number that
 * it runs at full speed.
 *
 * @module
 */
import { rankByRendezvous } from "@banyanlb/core";
import { CONCURRENT_FETCHES_MAX } from "./adapter_slot_table.ts";
import { LoadForecast, type RequestKind } from "./balance/load_forecast.ts";
import { type LevelEntry, pickByLevel } from "./balance/load_level.ts";
import { distanceBetween } from "./distance.ts";
import type { EngineTable, EngineView } from "./engine_table.ts";
import {
  isPermitted,
  type NoEngineReason,
  screenEngines,
  type ScreeningContext,
  type ScreeningRequirements,
  SLOW_PATH_MS,
} from "./screening/screen_engines.ts";

/** Cost of an engine in another zone of the region: breaks ties only. */
const OTHER_ZONE_COST = 0.02;

/** Cost of an engine in another region: traffic between regions is expensive
 * and adds a round trip, but a busy engine adds more. */
const OTHER_REGION_COST = 0.12;

const DISTANCE_COSTS = [0, OTHER_ZONE_COST, OTHER_REGION_COST] as const;

/** Cost of a failure rate of 1. */
const FAILURE_COST = 2;

/** Cost of an engine that names a limit on requests: it is slow, and its
 * adapters need another place. */
const LIMITED_COST = 0.75;

/** Load difference, in requests, above which the adapter is also loaded on a
 * less loaded engine. With fifteen or more requests on an engine, prompt
 * processing stalls the other streams for too long in one of ten requests; with
 * fewer than eight, in one of a hundred. A fetch costs about a third of a late
 * request. */
const SPREAD_THRESHOLD_REQUESTS = 8;

/** Upper limit of the spread threshold as a load ratio, for small engines. */
const SPREAD_THRESHOLD_MAX = 0.5;

/** Load ratio from which a request waits for the adapter on another engine
 * instead of joining the engine's queue. */
const QUEUE_LOAD_RATIO = 1.5;

/** Load ratio above which an engine gets no further requests. */
const FULL_LOAD_RATIO = 2.5;

/** A leaving engine serves requests on its adapters for this long, in
 * milliseconds: the time of a fetch on another engine, short compared with the
 * time that the deployments give a leaving engine. */
const LEAVING_ENGINE_USE_MS = 800;

/** Number of requests that an engine runs without slowing its token streams
 * below what callers expect, even if it has more slots: prompts are processed
 * between the tokens of other requests. */
const FULL_SPEED_REQUESTS_MAX = 32;

/** Cost of each further such time until an engine's fastest response. An engine
 * may be slow for other reasons, so it is not left out. */
const SLOW_RESPONSE_COST = 1;

/** Cost of an engine that already runs its maximum of concurrent fetches. A
 * burst of requests for cold adapters then loads them on the next engines of
 * their orders, since waiting costs more than another adapter slot. */
const FETCH_LIMIT_COST = 0.6;

/** Largest number of engines in all orders that are kept. */
const RANKED_ENGINES_MAX = 200_000;

/** Requirements of a request on the engine that serves it. */
export interface EngineRequirements extends ScreeningRequirements {
  readonly service: string;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** The newest announced version of the adapter. */
  readonly version: number;
  /** The oldest version that may still serve, because its successor was
   * announced very recently. */
  readonly oldestVersion: number;
}

/** Location and time of the choice, and which engines accept load requests. */
export interface SelectionContext extends ScreeningContext {
  readonly zone: string;
  /** Whether an instance that can send orders to this engine is reachable. */
  readonly canOrder: (engineKey: string) => boolean;
  /** Whether the engine is cold. */
  readonly isCold?: (engineKey: string) => boolean;
}

/** What an engine has of the requested adapter. `older`: a version that may still
 * serve. */
export type AdapterPresence = "held" | "older" | "fetching" | "missing";

/** The decision on a request: send it, load its adapter first, or refuse it. */
export type EngineChoice =
  /** Send the request to `view`; `spreadTo` should load the adapter as well. */
  | {
    readonly kind: "send";
    readonly view: EngineView;
    readonly spreadTo: EngineView | undefined;
  }
  /** Load the adapter on `view` before sending the request. */
  | { readonly kind: "load"; readonly view: EngineView }
  /** No engine can serve the request now. */
  | {
    readonly kind: "none";
    readonly reason: NoEngineReason | "full";
  };

/** An engine with what speaks for and against it. */
export interface WeighedEngine extends LevelEntry {
  readonly view: EngineView;
  /** Requests that are expected there, without new arrivals. */
  readonly load: number;
  /** What speaks against it beside its load, on the scale of `base`. */
  readonly penalty: number;
}

/** Chooses engines by cost, and caches the engine order of each adapter. */
export class EngineChooser {
  readonly #engines: EngineTable;
  readonly #forecast: LoadForecast;
  #generation = -1;
  readonly #rankings = new Map<string, readonly EngineView[]>();

  constructor(engines: EngineTable, forecast = new LoadForecast()) {
    this.#engines = engines;
    this.#forecast = forecast;
  }

  /** Expects how busy engines are; is to be told of requests. */
  get forecast(): LoadForecast {
    return this.#forecast;
  }

  /** Decides to which engine a request is sent, or on which engine its adapter
   * is loaded first.
   *
   * @example
   * ```ts
   * const choice = chooser.choose(requirements, context);
   * if (choice.kind === "send") send(choice.view);
   * ```
   */
  choose(
    requirements: EngineRequirements,
    context: SelectionContext,
  ): EngineChoice {
    const serviceEngines = this.#engines.ofService(requirements.service);
    const screening = screenEngines(serviceEngines, requirements, context);
    if (screening.kind === "none") return screening;
    if (
      requirements.model === undefined || requirements.adapter === undefined
    ) {
      return this.#chooseWithoutAdapter(
        screening.views,
        requirements,
        context,
      );
    }
    const choice = this.#chooseForAdapter(
      screening.views,
      requirements,
      context,
    );
    if (choice.kind === "send") {
      return {
        ...choice,
        spreadTo: choice.spreadTo ??
          this.#warmingHome(requirements, context),
      };
    }
    const leaving = serviceEngines.find((view) =>
      isLeavingHolder(view, requirements, context.now) &&
      isPermitted(view, requirements, context) &&
      context.roomOf(view.engine.key) !== "closed" &&
      context.linkMs(view.engine.zone) < SLOW_PATH_MS &&
      !requirements.excludedEngines.has(view.engine.key)
    );
    if (leaving === undefined) return choice;
    const spreadTo = choice.kind === "load" ? choice.view : undefined;
    return { kind: "send", view: leaving, spreadTo };
  }

  /** The engines of a service. */
  enginesOf(service: string): readonly EngineView[] {
    return this.#engines.ofService(service);
  }

  /** The keys of a service's engines. */
  keysOf(service: string): readonly string[] {
    return this.#engines.ofService(service).map(({ engine }) => engine.key);
  }

  /** The order of engines for an adapter, by rendezvous hashing. */
  rank(service: string, key: string): readonly EngineView[] {
    if (this.#generation !== this.#engines.setGeneration) {
      this.#rankings.clear();
      this.#generation = this.#engines.setGeneration;
    }
    const cacheKey = `${service} ${key}`;
    const cached = this.#rankings.get(cacheKey);
    if (cached !== undefined) return cached;
    const ranked = rankByRendezvous(this.#engines.ofService(service), {
      key,
      name: (view) => view.engine.id,
    });
    this.#rankings.set(cacheKey, ranked);
    if (this.#rankings.size * ranked.length > RANKED_ENGINES_MAX) {
      for (const oldest of this.#rankings.keys()) {
        this.#rankings.delete(oldest);
        break;
      }
    }
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
    const holders: EngineView[] = [];
    let fetchingView: EngineView | undefined;
    let fetchReadyAt = Infinity;
    let olderView: EngineView | undefined;
    let olderCost = Infinity;
    for (const view of usable) {
      const presence = presenceOf(view, requirements, now);
      if (presence === "missing") continue;
      if (presence === "fetching") {
        const readyAt = view.adapters.get(adapter)?.readyAt ?? Infinity;
        if (readyAt < fetchReadyAt) {
          fetchReadyAt = readyAt;
          fetchingView = view;
        }
        continue;
      }
      const cost = costOf(view, context);
      if (presence === "older") {
        if (cost < olderCost) {
          olderView = view;
          olderCost = cost;
        }
        continue;
      }
      holders.push(view);
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
        const view = this.#pick(holders, requirements, context) ?? best;
        return { kind: "send", view, spreadTo };
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

  /** Picks one of several engines that can all serve a request now. */
  #pick(
    views: readonly EngineView[],
    kind: RequestKind,
    context: SelectionContext,
  ): EngineView | undefined {
    if (views.length < 2) return views[0];
    const { entries, arrivals } = this.weigh(views, kind, context);
    const sample = this.#forecast.sample();
    return pickByLevel(entries, { arrivals, sample })?.view;
  }

  /** What the choice among engines that can all serve a request now is made
   * by. */
  weigh(
    views: readonly EngineView[],
    kind: RequestKind,
    context: SelectionContext,
  ): { readonly entries: readonly WeighedEngine[]; readonly arrivals: number } {
    const serviceViews = this.#engines.ofService(kind.service);
    const { kept, arrivals } = this.#forecast.of(
      views,
      { ...kind, serviceViews },
      context.now,
    );
    const entries = views.map((view) => {
      const capacity = fullSpeedCapacity(view);
      const load = kept.get(view) ?? 0;
      const penalty = penaltyOf(view, context);
      return { view, load, penalty, base: load / capacity + penalty, capacity };
    });
    return { entries, arrivals };
  }

  #chooseWithoutAdapter(
    usable: readonly EngineView[],
    requirements: EngineRequirements,
    context: SelectionContext,
  ): EngineChoice {
    const { service } = requirements;
    const views = servingAtOnce(usable, requirements, context.now);
    const view = this.#pick(views, { service, adapter: undefined }, context);
    if (view === undefined) return { kind: "none", reason: "no_engine" };
    if (loadRatio(view, context.now) > FULL_LOAD_RATIO) {
      return { kind: "none", reason: "full" };
    }
    return { kind: "send", view, spreadTo: undefined };
  }

  /** The first engine of the adapter's order, if it is cold and does not hold the
   * adapter: it is loaded there before requests return. */
  #warmingHome(
    requirements: EngineRequirements,
    context: SelectionContext,
  ): EngineView | undefined {
    const { service, model = "", adapter = "" } = requirements;
    const { isCold } = context;
    // Most of the time no engine is cold, and ranking them takes long.
    const views = this.#engines.ofService(service);
    if (isCold === undefined || !views.some((v) => isCold(v.engine.key))) {
      return undefined;
    }
    const first = this.rank(service, adapter).find((view) =>
      !view.engine.leaving && isPermitted(view, requirements, context)
    );
    if (first === undefined || first.down) return undefined;
    const { key } = first.engine;
    const isMissing = first.adapters.get(adapter) === undefined &&
      first.holdsModel(model);
    return isMissing && isCold(key) && context.canOrder(key)
      ? first
      : undefined;
  }

  /** Finds the cheapest engine that could load the adapter. Each position in
   * the adapter's order adds one spread threshold to the cost, so that a busy
   * first engine is passed over for the second. */
  #cheapestNonHolder(
    usable: ReadonlySet<EngineView>,
    requirements: EngineRequirements,
    context: SelectionContext,
  ): { readonly view: EngineView; readonly cost: number } | undefined {
    let best: EngineView | undefined;
    let bestCost = Infinity;
    let position = 0;
    const adapter = requirements.adapter ?? "";
    const isOpen = (view: EngineView) =>
      context.roomOf(view.engine.key) !== "limited";
    const hasOpen = [...usable].some(isOpen);
    for (const view of this.rank(requirements.service, adapter)) {
      if (!usable.has(view)) continue;
      const held = view.adapters.get(adapter);
      // The engine may use an older version, and a load would wait for its
      // requests.
      if (held !== undefined) continue;
      if (!view.holdsModel(requirements.model ?? "")) continue;
      if (!context.canOrder(view.engine.key)) continue;
      if (hasOpen && !isOpen(view)) continue;
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

/** What an engine has of the requested adapter.
 *
 * @example
 * ```ts
 * if (presenceOf(view, requirements, now) === "held") send(view);
 * ```
 */
export function presenceOf(
  view: EngineView,
  { adapter = "", version, oldestVersion }: EngineRequirements,
  now: number,
): AdapterPresence {
  const held = view.adapters.get(adapter);
  if (held === undefined) return "missing";
  if (held.version >= version) {
    return held.readyAt > now ? "fetching" : "held";
  }
  return held.version >= oldestVersion && held.readyAt <= now
    ? "older"
    : "missing";
}

/** The engines that can serve a request at once, with what it asks for. */
export function servingAtOnce(
  views: readonly EngineView[],
  requirements: EngineRequirements,
  now: number,
): readonly EngineView[] {
  const { model, adapter } = requirements;
  if (model === undefined) return views;
  if (adapter === undefined) {
    return views.filter((view) => view.holdsModel(model));
  }
  return views.filter((view) => presenceOf(view, requirements, now) === "held");
}

/** Whether a leaving engine holds the adapter and still has time for one more
 * request, while the adapter is loaded on another engine. */
function isLeavingHolder(
  view: EngineView,
  requirements: EngineRequirements,
  now: number,
): boolean {
  const { engine, leavingSince } = view;
  if (!engine.leaving || leavingSince === undefined || view.down) return false;
  if (engine.remainingMs !== undefined) return false;
  return now - leavingSince < LEAVING_ENGINE_USE_MS &&
    presenceOf(view, requirements, now) === "held";
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

/** What speaks against an engine beside its load, on the same scale. */
function penaltyOf(view: EngineView, context: SelectionContext): number {
  const { zone, regionOf, now } = context;
  const distance = distanceBetween(
    { zone, region: regionOf(zone) },
    { zone: view.engine.zone, region: regionOf(view.engine.zone) },
  );
  const limitedCost = context.roomOf(view.engine.key) === "limited"
    ? LIMITED_COST
    : 0;
  const lateMs = Math.max(0, view.path.delayMs(now) - SLOW_PATH_MS);
  return DISTANCE_COSTS[distance] + limitedCost +
    SLOW_RESPONSE_COST * lateMs / SLOW_PATH_MS +
    FAILURE_COST * view.health.failureRate(now);
}

function costOf(view: EngineView, context: SelectionContext): number {
  return loadRatio(view, context.now) + penaltyOf(view, context);
}
