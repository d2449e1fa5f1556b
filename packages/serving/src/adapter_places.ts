/** The adapter places of one engine, as the instance that orders there keeps
 * them.
 *
 * Every order names the number of orders that the engine has accepted before
 * it, so an order that arrives late is refused by the engine. That makes the
 * table exact at each number: after an accepted order it is known what the
 * engine holds; when an order is refused, the table is taken from a report.
 *
 * Invariants:
 * 1. Held, fetching and doubtful adapters never exceed the places.
 * 2. One order is under way at a time.
 * 3. An adapter that is asked for or in use is not evicted.
 *
 * @module
 */
import type { EngineReport, HeldAdapter } from "./types.ts";

/** Adapters that one engine fetches at once; more are refused by it. */
export const CONCURRENT_FETCHES_MAX = 4;

/** The same while the weight store is busy: fetches then share its speed, and
 * a few at a time finish sooner on average than all together. */
const CONCURRENT_FETCHES_BUSY_MAX = 2;

/** Adapters that wait for a fetch at most. Those behind would wait for more
 * than a second, and are better off at another engine or another time. */
const PENDING_LOADS_MAX = 6;

/** A report is behind the engine by less than this, in milliseconds; one that
 * shows fewer orders for longer is right. */
const REPORT_LAG_MS = 700;

/** Half-life of an adapter's measured use, in milliseconds: long against one
 * request, short against a shift in demand. */
const USE_HALF_LIFE_MS = 8000;

/** An adapter's fetch from the weight store at full speed, in milliseconds.
 * The first guess; later ones are measured. */
const FULL_SPEED_FETCH_MS = 250;

/** How far fetches slow each other down is measured: the share of the assumed
 * slowdown grows when a request came too early and shrinks with each load, so
 * that about one request in fifteen comes early. */
const SLOWDOWN_INCREASE_STEP = 0.1;
const SLOWDOWN_DECREASE_STEP = 0.007;
const SLOWDOWN_FACTOR_MIN = 0.3;
const SLOWDOWN_FACTOR_MAX = 2;

/** Wait after the first request that came too early, in milliseconds, and how
 * often it doubles. */
const EARLY_REQUEST_DELAY_MS = 30;
const EARLY_DELAY_DOUBLINGS_MAX = 3;

/** What a fetch that is late still takes, in milliseconds. */
const LATE_FETCH_REMAINING_MS = 40;

/** A held-recently adapter's load against a fetch. */
const HOST_MEMORY_LOAD_FRACTION = 0.1;

/** Adapters that an engine keeps in host memory after eviction. */
const HOST_MEMORY_ADAPTERS_MAX = 120;

/** Guess above the measured time of a load, so that few requests come early. */
const READY_MARGIN_MS = 8;

/** An adapter is evicted no sooner than this after its last use, in
 * milliseconds: other instances' use is known a digest later. An order that
 * meets a running request blocks all others until that has ended. */
const EVICTION_IDLE_MS = 500;

/** Places kept free while nothing waits, so that a load need not wait for an
 * eviction first. */
const FREE_SLOTS_MIN = 1;

/** One adapter on an engine. */
export interface AdapterSlot {
  readonly adapter: string;
  readonly version: number;
  /** When it can serve, by the steady clock; estimated while it is fetched. */
  readonly readyAt: number;
}

/** An order that the table wants to be sent. */
export interface PlannedOrder {
  readonly action: "load" | "unload";
  readonly adapter: string;
  /** For loads: the version wanted. */
  readonly version: number;
  /** The number of orders accepted so far, as the engine must confirm. */
  readonly orderCount: number;
  /** When the adapter was first asked for; undefined for evictions ahead of
   * need. */
  readonly requestedAt: number | undefined;
}

/** How an order ended. */
export type OrderOutcome =
  /** Accepted; for unloads: the adapter is gone. */
  | "done"
  /** Accepted, but it waits for running requests. */
  | "waiting"
  /** It held already; nothing was counted. */
  | "held"
  /** Refused: the engine's count differs or an order is under way. */
  | "refused"
  /** No answer: it may take effect later if the count still fits. */
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

/** The places of one engine. */
export class AdapterSlotTable {
  readonly #slotCount: number;
  #orderCount: number | undefined;
  #held = new Map<string, AdapterSlot>();
  readonly #pendingLoads = new Map<string, PendingLoad>();
  readonly #useByAdapter = new Map<string, AdapterUse>();
  readonly #recentlyEvicted = new Set<string>();
  #unloading = new Set<string>();
  #currentOrder: PlannedOrder | undefined;
  /** When an order was refused, until a report has told why. */
  #refusedAt: number | undefined;
  #isStoreBusy = false;
  #slowdownFactor = 1;
  /** Requests that came too early since an adapter was ordered. */
  readonly #earlyRequests = new Map<string, number>();
  #changes = 0;

  constructor(slotCount: number) {
    this.#slotCount = slotCount;
  }

  /** Grows with each change of what is held. */
  get changes(): number {
    return this.#changes;
  }

  /** Whether a report is needed before the next order. */
  get needsReport(): boolean {
    return this.#orderCount === undefined || this.#refusedAt !== undefined;
  }

  /** Tells whether the weight store is busy over all engines. */
  setStoreBusy(isBusy: boolean): void {
    this.#isStoreBusy = isBusy;
  }

  /** Loads that are under way and come from the weight store. */
  fetchCount(now: number): number {
    let count = 0;
    for (const slot of this.#held.values()) if (slot.readyAt > now) count++;
    return count;
  }

  /** Wishes that wait for a place. */
  get pendingLoadCount(): number {
    return this.#pendingLoads.size;
  }

  /** What is held or on its way, without what is being unloaded. */
  list(): readonly AdapterSlot[] {
    return [...this.#held.values()].filter((p) =>
      !this.#unloading.has(p.adapter)
    );
  }

  /** The place of an adapter with this version or a newer one. */
  find(adapter: string, version: number): AdapterSlot | undefined {
    const slot = this.#held.get(adapter);
    if (slot === undefined || slot.version < version) return undefined;
    return this.#unloading.has(adapter) ? undefined : slot;
  }

  /** Whether a wish for this adapter can be met soon. */
  canLoadSoon(adapter: string, now: number): boolean {
    if (this.#pendingLoads.has(adapter)) return true;
    if (this.#pendingLoads.size >= PENDING_LOADS_MAX) return false;
    // An older version that is in use.
    if (this.#held.has(adapter) && !this.#isIdle(adapter, now)) return false;
    if (this.#held.size < this.#slotCount) return true;
    return this.#unloading.size > 0 || this.#findVictim(now) !== undefined;
  }

  /** Asks for an adapter. Nothing happens if it is there or asked for. */
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

  /** Drops a wish, for example when nobody waits for it any more. */
  cancelLoad(adapter: string): void {
    this.#pendingLoads.delete(adapter);
  }

  /** Requests on an adapter: how many started, and how many are running. */
  recordUse(adapter: string, started: number, inFlight: number, now: number) {
    const use = this.#useByAdapter.get(adapter);
    const weight = use === undefined ? 0 : decayedWeight(use, now);
    this.#useByAdapter.set(adapter, {
      weight: weight + started,
      at: now,
      inFlight,
    });
  }

  /** Replaces what is in flight, adapter by adapter; all others have none. */
  setInFlight(inFlight: ReadonlyMap<string, number>): void {
    for (const [adapter, use] of this.#useByAdapter) {
      use.inFlight = inFlight.get(adapter) ?? 0;
    }
  }

  /** The next order, if one is due. It counts as under way until `settle`. */
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

  /** Takes in how the order under way ended. `slowdown` is how much longer a
   * fetch takes as many run at once. */
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
        // Too many fetches, another order under way, or another count.
        this.#refusedAt = now;
        return;
      case "unknown":
        // The next order carries the same count: either it is accepted, and
        // this one can no longer take effect, or it is refused.
        return;
    }
  }

  /** Takes in a report that was asked for at `askedAt`. */
  applyReport(report: EngineReport, model: string, now: number): void {
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
    const held = report.models.find((m) => m.name === model)?.adapters ?? [];
    if (expectedCount === undefined || report.orderCount !== expectedCount) {
      this.#resetFromReport(report, held, now);
      return;
    }
    if (refusedAt !== undefined) this.#extendLateFetches(report.fetching, now);
    this.#completeUnloads(held, report.fetching);
  }

  /** A request came before the adapter was there. Each further one waits twice
   * as long, so that no request spends all of its tries on one late fetch. */
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
    // Fetches share the weight store: the others are late as well.
    for (const other of this.#held.values()) {
      if (other.adapter !== adapter && other.readyAt <= now) continue;
      const readyAt = Math.max(now, other.readyAt) + delayMs;
      this.#held.set(other.adapter, { ...other, readyAt });
    }
    this.#changes += 1;
  }

  /** An engine said that it does not hold the adapter: a report must tell. */
  doubt(): void {
    if (this.#currentOrder === undefined) this.#orderCount = undefined;
  }

  #resetFromReport(
    report: EngineReport,
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

  /** Fetches that were thought to be over are not. */
  #extendLateFetches(fetching: readonly HeldAdapter[], now: number): void {
    for (const { name } of fetching) {
      const slot = this.#held.get(name);
      if (slot === undefined || slot.readyAt > now) continue;
      this.#held.set(name, { ...slot, readyAt: now + LATE_FETCH_REMAINING_MS });
      this.#changes += 1;
    }
  }

  /** Same count: only what waited for running requests may have ended. */
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

  /** The idle adapter with the least use of late. */
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
