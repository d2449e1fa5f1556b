/** Table of the adapter slots of one engine, kept by the instance that sends
 * orders to the engine.
 *
 * Every order carries the number of orders that the engine has accepted before
 * it, and the engine refuses an order with another number. The table is
 * therefore exact: it applies each accepted order, and after a refused order it
 * is restored from a report of the engine.
 *
 * Invariants:
 *
 * 1. Loaded, fetching and unloading adapters never exceed the slots.
 * 2. One order is in progress at a time.
 * 3. An adapter that is requested or in use is not evicted.
 *
 * @module
 */
import type { EngineReport, HeldAdapter } from "./types.ts";

/** Largest number of adapters that one engine fetches concurrently; the engine
 * refuses more. */
export const CONCURRENT_FETCHES_MAX = 4;

/** Limit on concurrent fetches of one engine while the weight store is busy.
 * Fetches then share its bandwidth, and a few at a time finish sooner on
 * average than all together. */
const CONCURRENT_FETCHES_BUSY_MAX = 2;

/** Largest number of adapters that wait for a fetch. Further ones would wait
 * for more than a second and are better served by another engine or a retry. */
const PENDING_LOADS_MAX = 6;

/** Longest delay of a report behind the engine's state, in milliseconds. A
 * report that shows a lower order count after this time is taken as correct. */
const REPORT_LAG_MS = 700;

/** Half-life of an adapter's use weight, in milliseconds: long compared with
 * one request, short compared with a shift in demand. */
const USE_HALF_LIFE_MS = 8000;

/** Assumed time to fetch an adapter from the weight store at full speed, in
 * milliseconds. The slowdown factor corrects it for concurrent fetches. */
const FULL_SPEED_FETCH_MS = 250;

/** The slowdown factor scales the assumed slowdown of concurrent fetches. It
 * grows by the first step when a request arrives before its adapter is ready
 * and shrinks by the second with each load, so that about one request in
 * fifteen arrives early. */
const SLOWDOWN_INCREASE_STEP = 0.1;
const SLOWDOWN_DECREASE_STEP = 0.007;
const SLOWDOWN_FACTOR_MIN = 0.3;
const SLOWDOWN_FACTOR_MAX = 2;

/** Delay after the first request that arrived early, in milliseconds, and how
 * often the delay can double for further ones. */
const EARLY_REQUEST_DELAY_MS = 30;
const EARLY_DELAY_DOUBLINGS_MAX = 3;

/** Assumed remaining time of a fetch that is late, in milliseconds. */
const LATE_FETCH_REMAINING_MS = 40;

/** Load time of a recently evicted adapter as a fraction of a fetch. */
const HOST_MEMORY_LOAD_FRACTION = 0.1;

/** Number of adapters that an engine keeps in host memory after eviction. */
const HOST_MEMORY_ADAPTERS_MAX = 120;

/** Added to the estimated load time, in milliseconds, so that few requests
 * arrive before the adapter is ready. */
const READY_MARGIN_MS = 8;

/** An adapter is evicted no sooner than this after its last use, in
 * milliseconds: other instances report their use one digest later. An unload
 * order that meets a running request blocks all other orders until the request
 * has ended. */
const EVICTION_IDLE_MS = 500;

/** Number of slots kept free while no load is pending, so that the next load
 * need not wait for an eviction. */
const FREE_SLOTS_MIN = 1;

/** One adapter that an engine holds or fetches. */
export interface AdapterSlot {
  readonly adapter: string;
  readonly version: number;
  /** When the adapter can serve, by the monotonic clock; an estimate while it
   * is fetched. */
  readonly readyAt: number;
}

/** The next order to send to the engine. */
export interface PlannedOrder {
  readonly action: "load" | "unload";
  readonly adapter: string;
  /** For loads: the requested version. */
  readonly version: number;
  /** Number of orders that the engine has accepted so far; the engine refuses
   * the order if its own count differs. */
  readonly orderCount: number;
  /** When the adapter was first requested; undefined for evictions ahead of
   * need. */
  readonly requestedAt: number | undefined;
}

/** How an order ended. */
export type OrderOutcome =
  /** The engine accepted the order; for unloads, the adapter is gone. */
  | "done"
  /** The engine accepted the order, which waits for running requests. */
  | "waiting"
  /** The engine held the adapter already; its order count is unchanged. */
  | "held"
  /** The engine refused the order: its count differs, or another order is in
   * progress. */
  | "refused"
  /** No response: the order may take effect later if its count still
   * matches. */
  | "unknown";

interface PendingLoad {
  readonly adapter: string;
  readonly version: number;
  readonly requestedAt: number;
}

interface AdapterUse {
  weight: number;
  at: number;
  inFlight: number;
}

/** The adapter slots of one engine. */
export class AdapterSlotTable {
  #slotCount: number;
  #orderCount: number | undefined;
  #held = new Map<string, AdapterSlot>();
  readonly #pendingLoads = new Map<string, PendingLoad>();
  readonly #useByAdapter = new Map<string, AdapterUse>();
  readonly #recentlyEvicted = new Set<string>();
  #unloading = new Set<string>();
  #currentOrder: PlannedOrder | undefined;
  /** When an order was refused; undefined once a report has shown the engine's
   * state. */
  #refusedAt: number | undefined;
  #isStoreBusy = false;
  #slowdownFactor = 1;
  /** Early requests by adapter, counted since its last load. */
  readonly #earlyRequests = new Map<string, number>();
  #changes = 0;

  constructor(slotCount: number) {
    this.#slotCount = slotCount;
  }

  /** Increases with each change of the table. */
  get changes(): number {
    return this.#changes;
  }

  /** Whether a report is needed before the next order. */
  get needsReport(): boolean {
    return this.#orderCount === undefined || this.#refusedAt !== undefined;
  }

  /** Sets for how many adapters there is room. */
  setSlotCount(slotCount: number): void {
    this.#slotCount = slotCount;
  }

  /** Sets whether the weight store is busy, over all engines. */
  setStoreBusy(isBusy: boolean): void {
    this.#isStoreBusy = isBusy;
  }

  /** Number of loads in progress. */
  fetchCount(now: number): number {
    let count = 0;
    for (const slot of this.#held.values()) if (slot.readyAt > now) count++;
    return count;
  }

  /** Number of loads that wait for an adapter slot. */
  get pendingLoadCount(): number {
    return this.#pendingLoads.size;
  }

  /** The adapters that are held or fetched, without those being unloaded. */
  list(): readonly AdapterSlot[] {
    return [...this.#held.values()].filter((slot) =>
      !this.#unloading.has(slot.adapter)
    );
  }

  /** The slot of an adapter with this version or a newer one. */
  find(adapter: string, version: number): AdapterSlot | undefined {
    const slot = this.#held.get(adapter);
    if (slot === undefined || slot.version < version) return undefined;
    return this.#unloading.has(adapter) ? undefined : slot;
  }

  /** Whether the adapter can be loaded soon. */
  canLoadSoon(adapter: string, now: number): boolean {
    if (this.#pendingLoads.has(adapter)) return true;
    if (this.#pendingLoads.size >= PENDING_LOADS_MAX) return false;
    // The engine holds an older version that is in use.
    if (this.#held.has(adapter) && !this.#isIdle(adapter, now)) return false;
    if (this.#held.size < this.#slotCount) return true;
    return this.#unloading.size > 0 || this.#findVictim(now) !== undefined;
  }

  /** Requests a load of the adapter. Does nothing if it is held or already
   * requested. */
  requestLoad(adapter: string, version: number, now: number): void {
    if (this.find(adapter, version) !== undefined) return;
    const pendingLoad = this.#pendingLoads.get(adapter);
    if (pendingLoad !== undefined && pendingLoad.version >= version) return;
    this.#pendingLoads.set(adapter, {
      adapter,
      version,
      requestedAt: pendingLoad?.requestedAt ?? now,
    });
  }

  /** Cancels a pending load, for example when no request waits for it. */
  cancelLoad(adapter: string): void {
    this.#pendingLoads.delete(adapter);
  }

  /** Records `started` new requests on an adapter, and sets the number of
   * requests that are running. */
  recordUse(adapter: string, started: number, inFlight: number, now: number) {
    const use = this.#useByAdapter.get(adapter);
    const weight = use === undefined ? 0 : decayedWeight(use, now);
    this.#useByAdapter.set(adapter, {
      weight: weight + started,
      at: now,
      inFlight,
    });
  }

  /** Replaces the number of running requests of each adapter; it is 0 for
   * adapters not in the map. */
  setInFlight(inFlight: ReadonlyMap<string, number>): void {
    for (const [adapter, use] of this.#useByAdapter) {
      use.inFlight = inFlight.get(adapter) ?? 0;
    }
  }

  /** The next order, if one is due. It is in progress until `recordOutcome`. */
  next(now: number, versionOf: (adapter: string) => number):
    | PlannedOrder
    | undefined {
    if (this.#currentOrder !== undefined || this.needsReport) return undefined;
    const order = this.#orderForPendingLoad(now) ??
      this.#evictAhead(now, versionOf);
    if (order === undefined) return undefined;
    this.#currentOrder = order;
    return order;
  }

  /** Records how the order in progress ended. `slowdown` is the assumed factor
   * by which concurrent fetches prolong a fetch. */
  recordOutcome(outcome: OrderOutcome, now: number, slowdown: number): void {
    const order = this.#currentOrder;
    if (order === undefined) return;
    this.#currentOrder = undefined;
    this.#changes += 1;
    switch (outcome) {
      case "done":
      case "waiting":
        this.#orderCount = order.orderCount + 1;
        this.#applyOrder(order, outcome, now, slowdown);
        return;
      case "held":
        this.#applyOrder(order, "done", now, 0);
        return;
      case "refused":
        // Too many fetches, another order in progress, or a different count.
        this.#refusedAt = now;
        return;
      case "unknown":
        // The next order carries the same count: either the engine accepts it,
        // and this order can no longer take effect, or the engine refuses it.
        return;
    }
  }

  /** Applies a report of the engine. A report is ignored while an order is in
   * progress, and while it may be older than the last accepted order. */
  applyReport(
    report: Pick<EngineReport, "orderCount" | "fetching"> & {
      /** The adapters that it holds. */
      readonly held: readonly HeldAdapter[];
    },
    now: number,
  ): void {
    if (this.#currentOrder !== undefined) return;
    const expectedCount = this.#orderCount;
    const refusedAt = this.#refusedAt;
    const isOlder = expectedCount !== undefined &&
      report.orderCount < expectedCount;
    if (
      isOlder && (refusedAt === undefined || now < refusedAt + REPORT_LAG_MS)
    ) {
      return;
    }
    this.#refusedAt = undefined;
    const { held } = report;
    if (expectedCount === undefined || report.orderCount !== expectedCount) {
      this.#resetFromReport(report, held, now);
      return;
    }
    if (refusedAt !== undefined) this.#extendLateFetches(report.fetching, now);
    this.#completeUnloads(held, report.fetching);
  }

  /** Postpones the adapter's ready time, because a request arrived before the
   * adapter was ready. The delay doubles with each early request, so that no
   * request spends all of its attempts on one late fetch. */
  recordEarlyRequest(adapter: string, now: number): void {
    const slot = this.#held.get(adapter);
    if (slot === undefined || slot.readyAt > now) return;
    const earlyCount = this.#earlyRequests.get(adapter) ?? 0;
    this.#earlyRequests.set(adapter, earlyCount + 1);
    const delayMs = EARLY_REQUEST_DELAY_MS *
      2 ** Math.min(earlyCount, EARLY_DELAY_DOUBLINGS_MAX);
    this.#slowdownFactor = Math.min(
      SLOWDOWN_FACTOR_MAX,
      this.#slowdownFactor + SLOWDOWN_INCREASE_STEP,
    );
    // Fetches share the weight store's bandwidth, so the other fetches are late
    // as well.
    for (const other of this.#held.values()) {
      if (other.adapter !== adapter && other.readyAt <= now) continue;
      const readyAt = Math.max(now, other.readyAt) + delayMs;
      this.#held.set(other.adapter, { ...other, readyAt });
    }
    this.#changes += 1;
  }

  /** Discards the order count, because the engine denied holding an adapter;
   * the next report restores the table. */
  doubt(): void {
    if (this.#currentOrder === undefined) this.#orderCount = undefined;
  }

  #resetFromReport(
    report: Pick<EngineReport, "orderCount" | "fetching">,
    held: readonly HeldAdapter[],
    now: number,
  ) {
    const previousSlots = this.#held;
    this.#held = new Map();
    for (const { name, version } of held) {
      this.#held.set(name, { adapter: name, version, readyAt: 0 });
    }
    for (const { name, version } of report.fetching) {
      const readyAt = previousSlots.get(name)?.readyAt ??
        now + FULL_SPEED_FETCH_MS;
      this.#held.set(name, { adapter: name, version, readyAt });
    }
    this.#unloading = new Set(
      [...this.#unloading].filter((name) => this.#held.has(name)),
    );
    this.#orderCount = report.orderCount;
    this.#changes += 1;
  }

  /** Postpones the ready time of fetches that the report shows as still in
   * progress. */
  #extendLateFetches(fetching: readonly HeldAdapter[], now: number): void {
    for (const { name } of fetching) {
      const slot = this.#held.get(name);
      if (slot === undefined || slot.readyAt > now) continue;
      this.#held.set(name, { ...slot, readyAt: now + LATE_FETCH_REMAINING_MS });
      this.#changes += 1;
    }
  }

  /** With an equal order count, only unloads that waited for running requests
   * may have completed. */
  #completeUnloads(
    held: readonly HeldAdapter[],
    fetching: readonly HeldAdapter[],
  ): void {
    const present = new Set([...held, ...fetching].map((a) => a.name));
    for (const name of this.#unloading) {
      if (present.has(name)) continue;
      this.#unloading.delete(name);
      this.#removeEvicted(name);
    }
  }

  #removeEvicted(adapter: string): void {
    this.#held.delete(adapter);
    this.#recentlyEvicted.delete(adapter);
    this.#recentlyEvicted.add(adapter);
    for (const oldest of this.#recentlyEvicted) {
      if (this.#recentlyEvicted.size <= HOST_MEMORY_ADAPTERS_MAX) break;
      this.#recentlyEvicted.delete(oldest);
    }
    this.#changes += 1;
  }

  #applyOrder(
    order: PlannedOrder,
    outcome: "done" | "waiting",
    now: number,
    slowdown: number,
  ): void {
    const { adapter, version } = order;
    if (order.action === "unload") {
      if (outcome === "waiting") this.#unloading.add(adapter);
      else {
        this.#unloading.delete(adapter);
        this.#removeEvicted(adapter);
      }
      return;
    }
    this.#earlyRequests.delete(adapter);
    const isInHostMemory = this.#recentlyEvicted.has(adapter) &&
      !this.#held.has(adapter);
    this.#slowdownFactor = Math.max(
      SLOWDOWN_FACTOR_MIN,
      this.#slowdownFactor - SLOWDOWN_DECREASE_STEP,
    );
    const slowdownMultiplier = 1 +
      Math.max(0, slowdown - 1) * this.#slowdownFactor;
    const loadMs = FULL_SPEED_FETCH_MS * slowdownMultiplier *
      (isInHostMemory ? HOST_MEMORY_LOAD_FRACTION : 1);
    this.#held.set(adapter, {
      adapter,
      version,
      readyAt: slowdown === 0 ? now : now + loadMs + READY_MARGIN_MS,
    });
    const pendingLoad = this.#pendingLoads.get(adapter);
    if (pendingLoad !== undefined && pendingLoad.version <= version) {
      this.#pendingLoads.delete(adapter);
    }
  }

  #orderForPendingLoad(now: number): PlannedOrder | undefined {
    const fetchLimit = this.#isStoreBusy
      ? CONCURRENT_FETCHES_BUSY_MAX
      : CONCURRENT_FETCHES_MAX;
    if (this.fetchCount(now) >= fetchLimit) return undefined;
    let pendingLoad: PendingLoad | undefined;
    for (const candidate of this.#pendingLoads.values()) {
      if (this.find(candidate.adapter, candidate.version) !== undefined) {
        this.#pendingLoads.delete(candidate.adapter);
      } else if (
        !this.#unloading.has(candidate.adapter) &&
        !(this.#held.has(candidate.adapter) &&
          !this.#isIdle(candidate.adapter, now)) &&
        (pendingLoad === undefined ||
          candidate.requestedAt < pendingLoad.requestedAt)
      ) {
        pendingLoad = candidate;
      }
    }
    if (pendingLoad === undefined) return undefined;
    if (
      this.#held.has(pendingLoad.adapter) || this.#held.size < this.#slotCount
    ) {
      return this.#createOrder(
        "load",
        pendingLoad.adapter,
        pendingLoad.version,
        pendingLoad.requestedAt,
      );
    }
    if (this.#unloading.size > 0) return undefined;
    const victim = this.#findVictim(now);
    if (victim === undefined) return undefined;
    return this.#createOrder("unload", victim, 0, pendingLoad.requestedAt);
  }

  /** Evicts ahead of need, outdated versions first. */
  #evictAhead(
    now: number,
    versionOf: (adapter: string) => number,
  ): PlannedOrder | undefined {
    if (this.#unloading.size > 0) return undefined;
    for (const slot of this.#held.values()) {
      if (slot.version >= versionOf(slot.adapter)) continue;
      if (slot.readyAt > now || !this.#isIdle(slot.adapter, now)) continue;
      return this.#createOrder("unload", slot.adapter, 0);
    }
    if (this.#slotCount - this.#held.size >= FREE_SLOTS_MIN) return undefined;
    const victim = this.#findVictim(now);
    return victim === undefined
      ? undefined
      : this.#createOrder("unload", victim, 0);
  }

  #isIdle(adapter: string, now: number): boolean {
    const use = this.#useByAdapter.get(adapter);
    return use === undefined ||
      (use.inFlight === 0 && now - use.at > EVICTION_IDLE_MS);
  }

  #createOrder(
    action: "load" | "unload",
    adapter: string,
    version: number,
    requestedAt?: number,
  ): PlannedOrder {
    const orderCount = this.#orderCount ?? 0;
    return { action, adapter, version, orderCount, requestedAt };
  }

  /** The idle adapter with the least recent use by weight. */
  #findVictim(now: number): string | undefined {
    let victim: string | undefined;
    let leastWeight = Infinity;
    for (const slot of this.#held.values()) {
      if (slot.readyAt > now || this.#unloading.has(slot.adapter)) continue;
      if (this.#pendingLoads.has(slot.adapter)) continue;
      if (!this.#isIdle(slot.adapter, now)) continue;
      const use = this.#useByAdapter.get(slot.adapter);
      const weight = use === undefined ? 0 : decayedWeight(use, now);
      if (weight < leastWeight) {
        leastWeight = weight;
        victim = slot.adapter;
      }
    }
    return victim;
  }
}

function decayedWeight(use: AdapterUse, now: number): number {
  return use.weight * 2 ** (-(now - use.at) / USE_HALF_LIFE_MS);
}
