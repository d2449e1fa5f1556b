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
export const FETCHES_AT_ONCE = 4;

/** The same while the weight store is busy: fetches then share its speed, and
 * a few at a time finish sooner on average than all together. */
const FETCHES_WHEN_BUSY = 2;

/** Adapters that wait for a fetch at most. Those behind would wait for more
 * than a second, and are better off at another engine or another time. */
const WISHES_MAX = 6;

/** A report is behind the engine by less than this, in milliseconds; one that
 * shows fewer orders for longer is right. */
const REPORT_LAG_MS = 700;

/** Half-life of an adapter's measured use, in milliseconds: long against one
 * request, short against a shift in demand. */
const USE_HALF_LIFE_MS = 8000;

/** An adapter's fetch from the weight store at full speed, in milliseconds.
 * The first guess; later ones are measured. */
const FETCH_MS = 250;

/** How far fetches slow each other down is measured: the share of the assumed
 * slowdown grows when a request came too early and shrinks with each load, so
 * that about one request in fifteen comes early. */
const LATE_STEP = 0.1;
const EASE_STEP = 0.007;
const SLOWDOWN_SHARE_MIN = 0.3;
const SLOWDOWN_SHARE_MAX = 2;

/** Wait after the first request that came too early, in milliseconds, and how
 * often it doubles. */
const EARLY_MS = 30;
const EARLY_DOUBLINGS = 3;

/** What a fetch that is late still takes, in milliseconds. */
const PROLONGED_MS = 40;

/** A held-recently adapter's load against a fetch. */
const RECENT_FRACTION = 0.1;

/** Adapters that an engine keeps in host memory after eviction. */
const RECENT_ADAPTERS = 120;

/** Guess above the measured time of a load, so that few requests come early. */
const LOAD_MARGIN_MS = 8;

/** An adapter is evicted no sooner than this after its last use, in
 * milliseconds: other instances' use is known a digest later. An order that
 * meets a running request blocks all others until that has ended. */
const QUIET_MS = 500;

/** Places kept free while nothing waits, so that a load need not wait for an
 * eviction first. */
const FREE_PLACES = 1;

/** One adapter on an engine. */
export interface Place {
  readonly adapter: string;
  readonly version: number;
  /** When it can serve, by the steady clock; estimated while it is fetched. */
  readonly readyAt: number;
}

/** An order that the table wants to be sent. */
export interface WantedOrder {
  readonly action: "load" | "unload";
  readonly adapter: string;
  /** For loads: the version wanted. */
  readonly version: number;
  /** The number of orders accepted so far, as the engine must confirm. */
  readonly orderCount: number;
  /** When the adapter was first asked for; undefined for evictions ahead of
   * need. */
  readonly wantedAt: number | undefined;
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

interface Wish {
  readonly adapter: string;
  readonly version: number;
  readonly since: number;
}

interface Use {
  weight: number;
  at: number;
  inFlight: number;
}

/** The places of one engine. */
export class AdapterPlaces {
  readonly #places: number;
  #orderCount: number | undefined;
  #held = new Map<string, Place>();
  readonly #wishes = new Map<string, Wish>();
  readonly #use = new Map<string, Use>();
  readonly #recent = new Set<string>();
  #unloading = new Set<string>();
  #pending: WantedOrder | undefined;
  /** When an order was refused, until a report has told why. */
  #refusedAt: number | undefined;
  #storeBusy = false;
  #slowdownShare = 1;
  /** Requests that came too early since an adapter was ordered. */
  readonly #early = new Map<string, number>();
  #changes = 0;

  constructor(places: number) {
    this.#places = places;
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
  noteStore(busy: boolean): void {
    this.#storeBusy = busy;
  }

  /** Loads that are under way and come from the weight store. */
  fetching(now: number): number {
    let count = 0;
    for (const place of this.#held.values()) if (place.readyAt > now) count++;
    return count;
  }

  /** Wishes that wait for a place. */
  get queueLength(): number {
    return this.#wishes.size;
  }

  /** What is held or on its way, without what is being unloaded. */
  list(): readonly Place[] {
    return [...this.#held.values()].filter((p) =>
      !this.#unloading.has(p.adapter)
    );
  }

  /** The place of an adapter with this version or a newer one. */
  find(adapter: string, version: number): Place | undefined {
    const place = this.#held.get(adapter);
    if (place === undefined || place.version < version) return undefined;
    return this.#unloading.has(adapter) ? undefined : place;
  }

  /** Whether a wish for this adapter can be met soon. */
  canTake(adapter: string, now: number): boolean {
    if (this.#wishes.has(adapter)) return true;
    if (this.#wishes.size >= WISHES_MAX) return false;
    // An older version that is in use.
    if (this.#held.has(adapter) && !this.#isQuiet(adapter, now)) return false;
    if (this.#held.size < this.#places) return true;
    return this.#unloading.size > 0 || this.#victim(now) !== undefined;
  }

  /** Asks for an adapter. Nothing happens if it is there or asked for. */
  want(adapter: string, version: number, now: number): void {
    if (this.find(adapter, version) !== undefined) return;
    const wish = this.#wishes.get(adapter);
    if (wish !== undefined && wish.version >= version) return;
    this.#wishes.set(adapter, { adapter, version, since: wish?.since ?? now });
  }

  /** Drops a wish, for example when nobody waits for it any more. */
  unwant(adapter: string): void {
    this.#wishes.delete(adapter);
  }

  /** Requests on an adapter: how many started, and how many are running. */
  noteUse(adapter: string, started: number, inFlight: number, now: number) {
    const use = this.#use.get(adapter);
    const weight = use === undefined ? 0 : decayed(use, now);
    this.#use.set(adapter, { weight: weight + started, at: now, inFlight });
  }

  /** Replaces what is in flight, adapter by adapter; all others have none. */
  noteInFlight(inFlight: ReadonlyMap<string, number>): void {
    for (const [adapter, use] of this.#use) {
      use.inFlight = inFlight.get(adapter) ?? 0;
    }
  }

  /** The next order, if one is due. It counts as under way until `settle`. */
  next(now: number, versionOf: (adapter: string) => number):
    | WantedOrder
    | undefined {
    if (this.#pending !== undefined || this.needsReport) return undefined;
    const order = this.#nextWish(now) ?? this.#makeRoom(now, versionOf);
    if (order === undefined) return undefined;
    this.#pending = order;
    return order;
  }

  /** Takes in how the order under way ended. `slowdown` is how much longer a
   * fetch takes as many run at once. */
  settle(outcome: OrderOutcome, now: number, slowdown: number): void {
    const order = this.#pending;
    if (order === undefined) return;
    this.#pending = undefined;
    this.#changes += 1;
    switch (outcome) {
      case "done":
      case "waiting":
        this.#orderCount = order.orderCount + 1;
        this.#apply(order, outcome, now, slowdown);
        return;
      case "held":
        this.#apply(order, "done", now, 0);
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
  takeReport(report: EngineReport, model: string, now: number): void {
    if (this.#pending !== undefined) return;
    const known = this.#orderCount;
    const refusedAt = this.#refusedAt;
    const older = known !== undefined && report.orderCount < known;
    if (older && (refusedAt === undefined || now < refusedAt + REPORT_LAG_MS)) {
      return;
    }
    this.#refusedAt = undefined;
    const held = report.models.find((m) => m.name === model)?.adapters ?? [];
    if (known === undefined || report.orderCount !== known) {
      this.#adopt(report, held, now);
      return;
    }
    if (refusedAt !== undefined) this.#prolong(report.fetching, now);
    this.#finishWaiting(held, report.fetching);
  }

  /** A request came before the adapter was there. Each further one waits twice
   * as long, so that no request spends all of its tries on one late fetch. */
  delay(adapter: string, now: number): void {
    const place = this.#held.get(adapter);
    if (place === undefined || place.readyAt > now) return;
    const early = this.#early.get(adapter) ?? 0;
    this.#early.set(adapter, early + 1);
    const ms = EARLY_MS * 2 ** Math.min(early, EARLY_DOUBLINGS);
    this.#slowdownShare = Math.min(
      SLOWDOWN_SHARE_MAX,
      this.#slowdownShare + LATE_STEP,
    );
    // Fetches share the weight store: the others are late as well.
    for (const other of this.#held.values()) {
      if (other.adapter !== adapter && other.readyAt <= now) continue;
      const readyAt = Math.max(now, other.readyAt) + ms;
      this.#held.set(other.adapter, { ...other, readyAt });
    }
    this.#changes += 1;
  }

  /** An engine said that it does not hold the adapter: a report must tell. */
  doubt(): void {
    if (this.#pending === undefined) this.#orderCount = undefined;
  }

  #adopt(report: EngineReport, held: readonly HeldAdapter[], now: number) {
    const before = this.#held;
    this.#held = new Map();
    for (const { name, version } of held) {
      this.#held.set(name, { adapter: name, version, readyAt: 0 });
    }
    for (const { name, version } of report.fetching) {
      const readyAt = before.get(name)?.readyAt ?? now + FETCH_MS;
      this.#held.set(name, { adapter: name, version, readyAt });
    }
    this.#unloading = new Set(
      [...this.#unloading].filter((name) => this.#held.has(name)),
    );
    this.#orderCount = report.orderCount;
    this.#changes += 1;
  }

  /** Fetches that were thought to be over are not. */
  #prolong(fetching: readonly HeldAdapter[], now: number): void {
    for (const { name } of fetching) {
      const place = this.#held.get(name);
      if (place === undefined || place.readyAt > now) continue;
      this.#held.set(name, { ...place, readyAt: now + PROLONGED_MS });
      this.#changes += 1;
    }
  }

  /** Same count: only what waited for running requests may have ended. */
  #finishWaiting(
    held: readonly HeldAdapter[],
    fetching: readonly HeldAdapter[],
  ): void {
    const present = new Set([...held, ...fetching].map((a) => a.name));
    for (const name of this.#unloading) {
      if (present.has(name)) continue;
      this.#unloading.delete(name);
      this.#drop(name);
    }
  }

  #drop(adapter: string): void {
    this.#held.delete(adapter);
    this.#recent.delete(adapter);
    this.#recent.add(adapter);
    for (const oldest of this.#recent) {
      if (this.#recent.size <= RECENT_ADAPTERS) break;
      this.#recent.delete(oldest);
    }
    this.#changes += 1;
  }

  #apply(
    order: WantedOrder,
    outcome: "done" | "waiting",
    now: number,
    slowdown: number,
  ): void {
    const { adapter, version } = order;
    if (order.action === "unload") {
      if (outcome === "waiting") this.#unloading.add(adapter);
      else {
        this.#unloading.delete(adapter);
        this.#drop(adapter);
      }
      return;
    }
    this.#early.delete(adapter);
    const recent = this.#recent.has(adapter) && !this.#held.has(adapter);
    this.#slowdownShare = Math.max(
      SLOWDOWN_SHARE_MIN,
      this.#slowdownShare - EASE_STEP,
    );
    const stretch = 1 + Math.max(0, slowdown - 1) * this.#slowdownShare;
    const load = FETCH_MS * stretch * (recent ? RECENT_FRACTION : 1);
    this.#held.set(adapter, {
      adapter,
      version,
      readyAt: slowdown === 0 ? now : now + load + LOAD_MARGIN_MS,
    });
    const wish = this.#wishes.get(adapter);
    if (wish !== undefined && wish.version <= version) {
      this.#wishes.delete(adapter);
    }
  }

  #nextWish(now: number): WantedOrder | undefined {
    const limit = this.#storeBusy ? FETCHES_WHEN_BUSY : FETCHES_AT_ONCE;
    if (this.fetching(now) >= limit) return undefined;
    let wish: Wish | undefined;
    for (const candidate of this.#wishes.values()) {
      if (this.find(candidate.adapter, candidate.version) !== undefined) {
        this.#wishes.delete(candidate.adapter);
      } else if (
        !this.#unloading.has(candidate.adapter) &&
        !(this.#held.has(candidate.adapter) &&
          !this.#isQuiet(candidate.adapter, now)) &&
        (wish === undefined || candidate.since < wish.since)
      ) {
        wish = candidate;
      }
    }
    if (wish === undefined) return undefined;
    if (this.#held.has(wish.adapter) || this.#held.size < this.#places) {
      return this.#order("load", wish.adapter, wish.version, wish.since);
    }
    if (this.#unloading.size > 0) return undefined;
    const victim = this.#victim(now);
    if (victim === undefined) return undefined;
    return this.#order("unload", victim, 0, wish.since);
  }

  /** Evicts ahead of need, outdated versions first. */
  #makeRoom(
    now: number,
    versionOf: (adapter: string) => number,
  ): WantedOrder | undefined {
    if (this.#unloading.size > 0) return undefined;
    for (const place of this.#held.values()) {
      if (place.version >= versionOf(place.adapter)) continue;
      if (place.readyAt > now || !this.#isQuiet(place.adapter, now)) continue;
      return this.#order("unload", place.adapter, 0);
    }
    if (this.#places - this.#held.size >= FREE_PLACES) return undefined;
    const victim = this.#victim(now);
    return victim === undefined ? undefined : this.#order("unload", victim, 0);
  }

  #isQuiet(adapter: string, now: number): boolean {
    const use = this.#use.get(adapter);
    return use === undefined || (use.inFlight === 0 && now - use.at > QUIET_MS);
  }

  #order(
    action: "load" | "unload",
    adapter: string,
    version: number,
    wantedAt?: number,
  ): WantedOrder {
    const orderCount = this.#orderCount ?? 0;
    return { action, adapter, version, orderCount, wantedAt };
  }

  /** The idle adapter with the least use of late. */
  #victim(now: number): string | undefined {
    let victim: string | undefined;
    let least = Infinity;
    for (const place of this.#held.values()) {
      if (place.readyAt > now || this.#unloading.has(place.adapter)) continue;
      if (this.#wishes.has(place.adapter)) continue;
      if (!this.#isQuiet(place.adapter, now)) continue;
      const use = this.#use.get(place.adapter);
      const weight = use === undefined ? 0 : decayed(use, now);
      if (weight < least) {
        least = weight;
        victim = place.adapter;
      }
    }
    return victim;
  }
}

function decayed(use: Use, now: number): number {
  return use.weight * 2 ** (-(now - use.at) / USE_HALF_LIFE_MS);
}
