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
import { distanceBetween } from "./distance.ts";
import type { EngineRoom } from "./engine_limits.ts";
import type { EngineTable, EngineView } from "./engine_table.ts";

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

/** Time that the links to an engine and back take, above which other engines are
 * used if there are any, in milliseconds. Callers leave at any time, and a
 * request that arrives long after that is work for nobody. */
export const SLOW_PATH_MS = 400;

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
export interface EngineRequirements {
  readonly service: string;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** The newest announced version of the adapter. */
  readonly version: number;
  /** The oldest version that may still serve, because its successor was
   * announced very recently. */
  readonly oldestVersion: number;
  /** Keys of engines that were already tried. */
  readonly excludedEngines: ReadonlySet<string>;
  /** Time until the request's deadline, in milliseconds. */
  readonly timeLeftMs: number;
}

/** Location and time of the choice, and which engines accept load requests. */
export interface SelectionContext {
  readonly zone: string;
  readonly regionOf: (zone: string) => string | undefined;
  /** Whether an instance that can send orders to this engine is reachable. */
  readonly canOrder: (engineKey: string) => boolean;
  /** How the engine's own limit on requests allows it to be used. */
  readonly roomOf: (engineKey: string) => EngineRoom;
  /** Time that the links to a zone and back take at present, in
   * milliseconds. */
  readonly linkMs: (zone: string) => number;
  readonly now: number;
}

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
    readonly reason: "no_engine" | "full" | "limited" | "too_late";
  };

/** Chooses engines by cost, and caches the engine order of each adapter. */
export class EngineChooser {
  readonly #engines: EngineTable;
  #generation = -1;
  readonly #rankings = new Map<string, readonly EngineView[]>();

  constructor(engines: EngineTable) {
    this.#engines = engines;
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
    const eligible = serviceEngines.filter((view) =>
      !view.engine.leaving && !requirements.excludedEngines.has(view.engine.key)
    );
    // If every engine is reported unresponsive, the reports are more likely
    // wrong than the engines.
    const reachable = eligible.filter((view) => !view.down);
    const candidates = reachable.length > 0 ? reachable : eligible;
    if (candidates.length === 0) return { kind: "none", reason: "no_engine" };
    const usable = candidates.filter((view) =>
      context.roomOf(view.engine.key) !== "closed"
    );
    if (usable.length === 0) return { kind: "none", reason: "limited" };
    const inTime = withoutSlowPaths(usable, requirements, context);
    if (inTime.length === 0) return { kind: "none", reason: "too_late" };
    if (
      requirements.model === undefined || requirements.adapter === undefined
    ) {
      return chooseWithoutAdapter(inTime, requirements, context);
    }
    const choice = this.#chooseForAdapter(inTime, requirements, context);
    if (choice.kind === "send") return choice;
    const leaving = serviceEngines.find((view) =>
      isLeavingHolder(view, requirements, context.now) &&
      context.roomOf(view.engine.key) !== "closed" &&
      context.linkMs(view.engine.zone) < SLOW_PATH_MS &&
      !requirements.excludedEngines.has(view.engine.key)
    );
    if (leaving === undefined) return choice;
    const spreadTo = choice.kind === "load" ? choice.view : undefined;
    return { kind: "send", view: leaving, spreadTo };
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
          held.version >= requirements.oldestVersion && held.readyAt <= now &&
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
      context.roomOf(view.engine.key) === "open";
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

/** Time until an engine's response begins at the earliest, in milliseconds.
 *
 * @example
 * ```ts
 * if (earliestResponseMs(view, context) >= timeLeftMs) refuse();
 * ```
 */
export function earliestResponseMs(
  view: EngineView,
  context: Pick<SelectionContext, "linkMs" | "now">,
): number {
  const { linkMs, now } = context;
  return Math.max(linkMs(view.engine.zone), view.path.delayMs(now));
}

/** The engines whose responses can arrive before the deadline; only those behind
 * fast links, if there are any. */
function withoutSlowPaths(
  views: readonly EngineView[],
  requirements: EngineRequirements,
  context: SelectionContext,
): readonly EngineView[] {
  const inTime = views.filter((view) =>
    earliestResponseMs(view, context) < requirements.timeLeftMs
  );
  const fast = inTime.filter((view) =>
    context.linkMs(view.engine.zone) < SLOW_PATH_MS
  );
  return fast.length > 0 ? fast : inTime;
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

/** Whether a leaving engine holds the adapter and still has time for one more
 * request, while the adapter is loaded on another engine. */
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
  const distance = distanceBetween(
    { zone, region: regionOf(zone) },
    { zone: view.engine.zone, region: regionOf(view.engine.zone) },
  );
  const limitedCost = context.roomOf(view.engine.key) === "open"
    ? 0
    : LIMITED_COST;
  const lateMs = Math.max(0, view.path.delayMs(now) - SLOW_PATH_MS);
  return loadRatio(view, now) + DISTANCE_COSTS[distance] + limitedCost +
    SLOW_RESPONSE_COST * lateMs / SLOW_PATH_MS +
    FAILURE_COST * view.health.failureRate(now);
}
