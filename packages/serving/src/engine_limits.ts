/** Heeds what engines say about how they may be used: limits on the requests a
 * second from all instances together, while they are cold or at any time, and
 * pauses for this instance.
 *
 * A few instances share the limit of an engine and the others send it nothing,
 * because equal shares of all instances would each be too small for a single
 * request in a short time, and their sum too large. Who shares follows from the
 * names of the instances alive, so that nobody has to be asked.
 *
 * @module
 */
import { rankByRendezvous } from "@banyanlb/core";
import { BrittleEngines } from "./allowance/brittle_engines.ts";
import { RequestAllowance } from "./allowance/request_allowance.ts";
import type { ServingInstances } from "./member_table.ts";
import type { ReportRow } from "./report_row.ts";

/** Time without a response from an engine after which its limit may have ended,
 * in milliseconds. Then one instance may send it a request now and then, however
 * low the limit is. */
const LIMIT_UNCERTAIN_MS = 30_000;

/** Rate of those requests, in requests a second. */
const PROBES_PER_SECOND = 0.2;

/** Number of instances that share the smallest limits; with each request a
 * second there is one more, so that all of them can use their share. */
const SHARERS_MIN = 1;

/** A change of a limit's age by this much is reported to peers, in
 * milliseconds. */
const REPORTED_AGE_STEP_MS = 5000;

/** Longest pause that an engine may ask for, in milliseconds: after it the engine
 * is asked again. */
const PAUSE_MAX_MS = 60_000;

/** How long this instance sends nothing to a brittle engine that has turned a
 * request away, in milliseconds: refusals count for a second. */
const BRITTLE_PAUSE_MS = 1100;

/** How an engine may be used at present. */
export type EngineRoom =
  /** It names no limit. */
  | "open"
  /** It names a limit, and this instance may send it a request. */
  | "limited"
  /** It is cold, and this instance may send it a request. */
  | "warming"
  /** It is cold, brittle or names a limit, or it asked for a pause, and this
   * instance must not send it a request now. */
  | "closed";

/** An engine's limit as peers report it. */
export interface LimitRecord {
  /** Requests a second; null if the engine names no limit any more. */
  readonly limit: number | null;
  /** Time since the response that showed it, in milliseconds. */
  readonly ageMs: number;
}

/** What this instance knows of a limit, for the log. */
export interface LimitState {
  readonly limit: number;
  readonly ageMs: number;
  /** Requests a second that this instance may send. */
  readonly share: number;
}

interface Limit {
  /** Undefined if the engine names no limit any more. */
  perSecond: number | undefined;
  namedAt: number;
  readonly allowance: RequestAllowance;
}

/** What the limits need to know of engines that are cold. */
export interface ColdEngines {
  /** Whether an engine is cold. Asked for each engine with each request. */
  readonly isCold: (engineKey: string, now: number) => boolean;
  /** The requests a second that this instance may send to a cold engine. */
  readonly shareOf: (engineKey: string, now: number) => number;
}

const NONE_COLD: ColdEngines = { isCold: () => false, shareOf: () => 0 };

/** The limits of engines, and the share that this instance has of each. */
export class EngineLimits {
  readonly #self: string;
  readonly #instances: () => ServingInstances;
  readonly #limits = new Map<string, Limit>();
  readonly #coldEngines: ColdEngines;
  /** The allowances for engines that are cold. */
  readonly #warmUps = new Map<string, RequestAllowance>();
  /** Until when engines asked this instance to pause. */
  readonly #pausedUntil = new Map<string, number>();
  readonly #brittle: BrittleEngines;

  /** `self` is the name of this instance. */
  constructor(
    self: string,
    instances: () => ServingInstances,
    coldEngines = NONE_COLD,
  ) {
    this.#self = self;
    this.#instances = instances;
    this.#coldEngines = coldEngines;
    this.#brittle = new BrittleEngines(self, instances);
  }

  /** Number of engines that name a limit. */
  get size(): number {
    let count = 0;
    for (const { perSecond } of this.#limits.values()) {
      if (perSecond !== undefined) count += 1;
    }
    return count;
  }

  /** Records the limit in an engine's response, or that it names none. Returns
   * whether that has changed.
   *
   * @example
   * ```ts
   * limits.record("e1@7", head.requestLimit, performance.now());
   * ```
   */
  record(
    engineKey: string,
    perSecond: number | undefined,
    now: number,
  ): boolean {
    const current = this.#limits.get(engineKey);
    if (current === undefined && perSecond === undefined) return false;
    return this.#update(engineKey, perSecond, { namedAt: now, now });
  }

  /** Records that an engine, with a response that has just arrived, asked this
   * instance to send it nothing for a time. What was sent before goes on. Returns
   * whether the engine was not paused until then. */
  recordPause(engineKey: string, pauseMs: number, now: number): boolean {
    const until = now + Math.min(PAUSE_MAX_MS, pauseMs);
    const current = this.#pausedUntil.get(engineKey) ?? -Infinity;
    this.#pausedUntil.set(engineKey, Math.max(current, until));
    return now >= current && pauseMs > 0;
  }

  /** Records how many requests an engine may turn away in a second before it ends,
   * as its response says; undefined if it is not brittle. `wasTurnedAway` is
   * whether the response turned a request away. Returns whether the number has
   * changed. */
  recordBrittle(
    engineKey: string,
    refusalsMax: number | undefined,
    { wasTurnedAway, now }: {
      readonly wasTurnedAway: boolean;
      readonly now: number;
    },
  ): boolean {
    const isChanged = this.#brittle.record(engineKey, refusalsMax);
    if (refusalsMax !== undefined && wasTurnedAway) {
      this.recordPause(engineKey, BRITTLE_PAUSE_MS, now);
    }
    return isChanged;
  }

  /** Time until the end of an engine's pause, in milliseconds. */
  pauseLeftMs(engineKey: string, now: number): number {
    const until = this.#pausedUntil.get(engineKey);
    if (until === undefined) return 0;
    if (now >= until) this.#pausedUntil.delete(engineKey);
    return Math.max(0, until - now);
  }

  /** Number of engines that asked for a pause. */
  pausedCount(now: number): number {
    let count = 0;
    for (const until of this.#pausedUntil.values()) if (now < until) count += 1;
    return count;
  }

  /** How an engine may be used. `waiting` is the number of requests of this
   * instance there that have no response yet. */
  roomOf(engineKey: string, now: number, waiting = 0): EngineRoom {
    if (this.pauseLeftMs(engineKey, now) > 0) return "closed";
    if (waiting >= this.#brittle.waitingMax(engineKey)) return "closed";
    const limit = this.#limits.get(engineKey);
    const isLimited = limit?.perSecond !== undefined;
    if (isLimited && !limit.allowance.hasToken(now)) return "closed";
    const warmUp = this.#warmUpOf(engineKey, now);
    if (warmUp !== undefined && !warmUp.hasToken(now)) return "closed";
    if (isLimited) return "limited";
    return warmUp === undefined ? "open" : "warming";
  }

  /** Counts a request that is about to be sent to an engine. Returns false, and
   * counts nothing, if it must not be sent. */
  tryTake(engineKey: string, now: number): boolean {
    if (this.roomOf(engineKey, now) === "closed") return false;
    const limit = this.#limits.get(engineKey);
    if (limit?.perSecond !== undefined) limit.allowance.take();
    this.#warmUpOf(engineKey, now)?.take();
    return true;
  }

  /** Time until this instance may send a request to any of these engines, in
   * milliseconds; undefined if it has no share of any. */
  waitMs(engineKeys: readonly string[], now: number): number | undefined {
    const waits = engineKeys.flatMap((key) => {
      const pauseMs = this.pauseLeftMs(key, now);
      if (pauseMs > 0) return [pauseMs];
      const limit = this.#limits.get(key);
      const allowances = [
        limit?.perSecond === undefined ? undefined : limit.allowance,
        this.#warmUpOf(key, now),
      ].filter((allowance) => allowance !== undefined);
      const needed = allowances.flatMap((a) => a.waitMs(now) ?? []);
      if (needed.length < allowances.length || needed.length === 0) return [];
      return [Math.max(...needed)];
    });
    return waits.length === 0 ? undefined : Math.min(...waits);
  }

  /** What is known of an engine's limit; undefined if it names none. */
  stateOf(engineKey: string, now: number): LimitState | undefined {
    const limit = this.#limits.get(engineKey);
    if (limit?.perSecond === undefined) return undefined;
    return {
      limit: limit.perSecond,
      ageMs: Math.round(now - limit.namedAt),
      share: limit.allowance.shareAt(now),
    };
  }

  /** What peers are told, by engine. */
  report(now: number): readonly ReportRow<LimitRecord>[] {
    return [...this.#limits].map(([key, { perSecond, namedAt }]) => [
      key,
      (perSecond ?? -1) + Math.floor(namedAt / REPORTED_AGE_STEP_MS) * 1e6,
      { limit: perSecond ?? null, ageMs: Math.round(now - namedAt) },
    ]);
  }

  /** Applies what a peer reports, where the peer has the newer response. */
  receive(records: Readonly<Record<string, LimitRecord>>, now: number): void {
    for (const [key, { limit, ageMs }] of Object.entries(records)) {
      const namedAt = now - ageMs;
      const current = this.#limits.get(key);
      if (current !== undefined && current.namedAt >= namedAt) continue;
      this.#update(key, limit ?? undefined, { namedAt, now });
    }
  }

  /** Forgets the limits of engines that are no longer listed. */
  keepOnly(isListed: (engineKey: string) => boolean): void {
    for (const key of this.#limits.keys()) {
      if (!isListed(key)) this.#limits.delete(key);
    }
    for (const key of this.#pausedUntil.keys()) {
      if (!isListed(key)) this.#pausedUntil.delete(key);
    }
    for (const key of this.#warmUps.keys()) {
      if (!isListed(key)) this.#warmUps.delete(key);
    }
    this.#brittle.keepOnly(isListed);
  }

  /** The allowance for an engine that is cold. */
  #warmUpOf(engineKey: string, now: number): RequestAllowance | undefined {
    if (!this.#coldEngines.isCold(engineKey, now)) {
      this.#warmUps.delete(engineKey);
      return undefined;
    }
    let allowance = this.#warmUps.get(engineKey);
    if (allowance === undefined) {
      allowance = new RequestAllowance(
        (at) => this.#coldEngines.shareOf(engineKey, at),
        now,
      );
      this.#warmUps.set(engineKey, allowance);
    }
    return allowance;
  }

  #update(
    engineKey: string,
    perSecond: number | undefined,
    times: { readonly namedAt: number; readonly now: number },
  ): boolean {
    const { namedAt, now } = times;
    const limit = this.#limits.get(engineKey);
    if (limit === undefined) {
      // The engine has just had more requests than anybody counted.
      const added: Limit = {
        perSecond,
        namedAt,
        allowance: new RequestAllowance(
          (at) => this.#shareOf(engineKey, added, at),
          now,
        ),
      };
      this.#limits.set(engineKey, added);
      return true;
    }
    const isChanged = limit.perSecond !== perSecond;
    if (isChanged) limit.allowance.expireShare(now);
    limit.namedAt = namedAt;
    limit.perSecond = perSecond;
    return isChanged;
  }

  #shareOf(engineKey: string, limit: Limit, now: number): number {
    const { names, isCutOff } = this.#instances();
    if (limit.perSecond === undefined || isCutOff) return 0;
    const count = Math.min(
      names.length,
      SHARERS_MIN + Math.floor(limit.perSecond),
    );
    const rank = rankByRendezvous(names, {
      key: engineKey,
      name: (name) => name,
    }).indexOf(this.#self);
    const share = rank < count ? limit.perSecond / count : 0;
    const isUncertain = now - limit.namedAt > LIMIT_UNCERTAIN_MS;
    return rank === 0 && isUncertain
      ? Math.max(share, PROBES_PER_SECOND)
      : share;
  }
}
